package gentiandale.standin.fault

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long

/** Command-line options for the initial faults of a stand-in. */
internal class FaultOptions : OptionGroup("Faults") {
    private val seed by option("--fault-seed").long().default(0)
    private val lateMs by option("--fault-late-ms", help = "Delay of a late answer in ms.").long().default(2_000)
    private val probabilities by option(
        "--fault",
        metavar = "name=probability",
        help = "Probability from 0 to 1 of a fault; may be repeated. Names: $NAMES.",
    )
        .convert { text -> parseFault(text) ?: fail("'$text' is not name=probability (0 to 1); names: $NAMES.") }
        .multiple()

    /** Builds the [FaultPlan] that the options describe. */
    fun plan(): FaultPlan = FaultPlan(seed, probabilities.toMap(), lateMs)

    private fun parseFault(text: String): Pair<Fault, Double>? {
        val fault = Fault.entries.find { wireName(it) == text.substringBefore('=') } ?: return null
        val probability = text.substringAfter('=', "").toDoubleOrNull() ?: return null
        return (fault to probability).takeIf { probability in 0.0..1.0 }
    }

    private companion object {
        val NAMES = Fault.entries.joinToString(transform = ::wireName)

        fun wireName(fault: Fault) = fault.name.lowercase().replace('_', '-')
    }
}
