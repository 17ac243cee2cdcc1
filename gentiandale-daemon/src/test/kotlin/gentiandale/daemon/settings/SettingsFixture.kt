package gentiandale.daemon.settings

import gentiandale.core.Checked
import gentiandale.core.Finding
import kotlin.test.assertIs

/** Valid settings file, and readers of modified copies of it. */
abstract class SettingsFixture {
    protected val valid = """
        |vm: vm-a1
        |data-centre: dc-a
        |region: lakes
        |http: 127.0.0.1:7101
        |peer: 127.0.0.1:7151
        |peers:
        |  - vm: vm-a2
        |    data-centre: dc-a
        |    region: lakes
        |    http: 127.0.0.1:7102
        |    peer: 127.0.0.1:7152
        |limits:
        |  max-body-bytes: 4096
        |
    """.trimMargin()

    protected fun read(text: String): Checked<Settings> = readSettings("vm.yaml", text)

    protected fun findingsOf(text: String): List<Finding> = assertIs<Checked.Invalid>(read(text)).findings

    /** Reads the valid file with [old] replaced by [new] and returns the findings as text. */
    protected fun findingsAfter(old: String, new: String): List<String> {
        check(old in valid) { "The fixture has no '$old'." }
        return findingsOf(valid.replaceFirst(old, new)).map { it.toString() }
    }
}
