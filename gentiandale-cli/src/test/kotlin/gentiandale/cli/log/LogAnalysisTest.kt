package gentiandale.cli.log

import com.github.ajalt.clikt.testing.test
import gentiandale.cli.ControlCommand
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LogAnalysisTest {
    @TempDir
    lateinit var folder: Path

    private val lines = """
        |   1.2 front-1 {"time_ms":1000,"vm":"front-1","part":"fleet","event":"server","server":"i-1","state":"ready"}
        |{"time_ms":1500,"vm":"front-1","part":"fleet","event":"server","server":"i-1","state":"ready","silent":true}
        |{"time_ms":1500,"vm":"front-2","part":"fleet","event":"server","server":"i-1","state":"gone"}
        |{"time_ms":2000,"vm":"front-1","part":"relay","event":"placed","request":"r1","server":"i-1","attempt":0}
        |{"time_ms":2250,"vm":"front-1","part":"relay","event":"send-failed","request":"r1","server":"i-1","reason":"reset"}
        |{"time_ms":2251,"vm":"front-1","part":"relay","event":"ended","request":"r1","outcome":"failed","reason":"reset"}
        |{"time_ms":2300,"vm":"front-1","part":"relay","event":"ended","request":"r2","outcome":"answered"}
        |{"time_ms":2400,"vm":"front-1","part":"fleet","event":"control-lost","silent_ms":2000}
        |not a log line {
    """.trimMargin()

    @Test
    fun `the trace of a request has its decisions and the last state of its server on the same VM`() {
        val trace = LogAnalysis(lines.lineSequence()).requestTrace("r1")
        val expected = listOf("fleet/server", "relay/placed", "relay/send-failed", "relay/ended")
        assertEquals(expected, trace.map { it.event })
        assertEquals("true", trace.first().text("silent"))
    }

    @Test
    fun `an incident shows changes and counts requests by outcome`() {
        val logs = LogAnalysis(lines.lineSequence())
        assertEquals(listOf("fleet/control-lost"), logs.changes(2_000, 3_000).map { it.event })
        assertEquals(
            setOf("failed" to 1, "answered" to 1),
            logs.outcomes(0, 3_000).map {
                it.first to it.third
            }.toSet(),
        )
    }

    @Test
    fun `the commands read files, and an unknown request gives exit code 1`() {
        val file = folder.resolve("log").apply { writeText(lines) }.toString()
        val found = ControlCommand().test(listOf("story", "r1", file))
        assertTrue(found.statusCode == 0 && "reason=reset" in found.output, found.output)
        assertEquals(1, ControlCommand().test(listOf("story", "r9", file)).statusCode)
        assertTrue("control-lost" in ControlCommand().test(listOf("incident", "0", "9000", file)).output)
    }
}
