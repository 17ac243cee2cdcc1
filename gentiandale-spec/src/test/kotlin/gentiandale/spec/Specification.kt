package gentiandale.spec

import edu.mit.csail.sdg.alloy4.A4Reporter
import edu.mit.csail.sdg.ast.Command
import edu.mit.csail.sdg.parser.CompModule
import edu.mit.csail.sdg.parser.CompUtil
import edu.mit.csail.sdg.translator.A4Options
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod
import kodkod.engine.satlab.SATFactory
import java.nio.file.Files
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeBytes

/** Alloy specification, loaded from the resource with the given [name]. */
internal class Specification(private val name: String) {
    private val module: CompModule = parse()

    /** Runs the command [label] and returns whether it finds an instance; for a check this is a counterexample. */
    fun hasInstance(label: String): Boolean {
        val options = A4Options().apply { solver = SATFactory.DEFAULT }
        val solution = TranslateAlloyToKodkod.execute_command(
            A4Reporter.NOP,
            module.allReachableSigs,
            command(label),
            options,
        )
        return solution.satisfiable()
    }

    private fun command(label: String): Command = module.allCommands.single { it.label == label }

    private fun parse(): CompModule {
        val file = Files.createTempFile(name, ".als")
        val text = checkNotNull(javaClass.getResourceAsStream("/$name.als")) { "Resource /$name.als not found." }
        text.use { file.writeBytes(it.readAllBytes()) }
        return try {
            CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file.toString())
        } finally {
            file.deleteIfExists()
        }
    }
}
