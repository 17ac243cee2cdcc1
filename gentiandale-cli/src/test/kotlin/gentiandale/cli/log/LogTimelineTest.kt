package gentiandale.cli.log

import com.github.ajalt.clikt.testing.test
import gentiandale.cli.ControlCommand
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LogTimelineTest {
    private val lines = listOf(
        line(0, "f1", "process/start", """"role":"entry""""),
        line(100, "f1", "fleet/configuration", """"version":3"""),
        line(1_200, "f2", "fleet/configuration", """"version":4"""),
        line(300, "f1", "fleet/server", """"server":"s1","state":"ready","silent":false"""),
        line(1_400, "f1", "fleet/server", """"server":"s1","state":"ready","silent":true"""),
        line(1_500, "f1", "relay/ended", """"request":"a","outcome":"answered","elapsed_ms":1100,"first_ms":200"""),
        line(1_600, "f1", "relay/ended", """"request":"b","outcome":"refused","elapsed_ms":0"""),
        line(2_100, "f2", "relay/ended", """"request":"c","outcome":"cut","elapsed_ms":700,"first_ms":90"""),
        line(2_200, "f2", "fleet/control-lost", """"vm":"f2","from":"<core>""""),
    )

    @Nested
    inner class Series {
        private val plots = LogAnalysis(lines.asSequence()).timeline.plots

        @Test
        fun `requests are counted in the seconds of their arrival and their end`() {
            assertEquals(listOf<Double?>(1.0, 2.0, 0.0), values("Requests", "arrived"))
            assertEquals(listOf<Double?>(0.0, 1.0, 0.0), values("Requests", "answered"))
            assertEquals(listOf<Double?>(0.0, 0.0, 1.0), values("Requests", "failed or cut"))
        }

        @Test
        fun `configuration versions are plotted as the lowest and the highest of all VMs`() {
            assertEquals(listOf<Double?>(3.0, 3.0, 3.0), values("Configuration", "lowest"))
            assertEquals(listOf<Double?>(3.0, 4.0, 4.0), values("Configuration", "highest"))
        }

        @Test
        fun `servers are counted by their newest state`() {
            assertEquals(listOf<Double?>(1.0, 0.0, 0.0), values("Backend", "ready"))
            assertEquals(listOf<Double?>(0.0, 1.0, 1.0), values("Backend", "silent"))
        }

        @Test
        fun `seconds without an answer have no time to the first byte`() {
            assertEquals(listOf(null, 200.0, 90.0), values("Time", "median"))
        }

        private fun values(title: String, name: String) =
            plots.single { it.title.startsWith(title) }.series.single { it.name == name }.values
    }

    @Nested
    inner class Page {
        @TempDir
        lateinit var folder: Path

        @Test
        fun `the page draws each series and escapes text from logs`() {
            val page = TimelinePage(LogAnalysis(lines.asSequence()).timeline).render()
            assertTrue("""points="166.7,83 500,6 833.3,160"""" in page, page)
            assertTrue("from=&lt;core&gt;" in page, page)
            assertFalse("<core>" in page)
        }

        @Test
        fun `the command writes a page, and input without log lines gives exit code 1`() {
            val log = folder.resolve("log").apply { writeText(lines.joinToString("\n")) }.toString()
            val page = folder.resolve("page.html")
            assertEquals(0, ControlCommand().test(listOf("plot", "--out", page.toString(), log)).statusCode)
            assertTrue(page.readText().startsWith("<!DOCTYPE html>"))
            val empty = folder.resolve("empty").apply { writeText("no line") }.toString()
            assertEquals(1, ControlCommand().test(listOf("plot", "--out", page.toString(), empty)).statusCode)
        }
    }

    private fun line(ms: Int, vm: String, event: String, rest: String): String {
        val (part, name) = event.split('/')
        return """{"time_ms":${ms + 5_000},"vm":"$vm","part":"$part","event":"$name",$rest}"""
    }
}
