package gentiandale.daemon.settings

import com.github.ajalt.clikt.testing.test
import gentiandale.core.Checked
import gentiandale.daemon.DaemonCommand
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

class SettingsReaderTest : SettingsFixture() {
    @Nested
    inner class Schema {
        @Test
        fun `reads a valid file`() {
            val settings = assertIs<Checked.Valid<Settings>>(read(valid)).value
            assertEquals(4_096, settings.limits.maxBodyBytes)
            assertEquals("vm-a2", settings.peers.single().vm.value)
        }

        @Test
        fun `reports several unknown keys with their lines`() {
            val found =
                findingsOf(valid.replace("region: lakes\nhttp", "colour: red\nregion: lakes\nhttp") + "  x: 1\n")
            assertEquals(listOf("colour" to 3, "limits.x" to 15), found.map { it.place.field to it.place.line })
        }

        @Test
        fun `reports a missing key of a peer at the peer's line`() {
            assertEquals(
                listOf("vm.yaml:7: peers[0].region: This field is required."),
                findingsAfter("    region: lakes\n", ""),
            )
        }

        @Test
        fun `reports wrong types`() {
            assertEquals(
                listOf("vm.yaml:13: limits.max-body-bytes: 'big' is not a whole number."),
                findingsAfter("4096", "big"),
            )
            assertEquals(listOf("vm.yaml:1: vm: A single value is expected here."), findingsAfter("vm-a1", "[a, b]"))
        }

        @Test
        fun `reports a value out of range`() {
            assertEquals(
                listOf("vm.yaml:13: limits.max-body-bytes: 12 is not between 1024 and 1073741824."),
                findingsAfter("4096", "12"),
            )
        }

        @Test
        fun `reports text that is not valid YAML`() {
            assertEquals(1, findingsOf("vm: [").size)
            assertEquals(1, findingsOf("").size)
        }
    }

    @Nested
    inner class Rules {
        @Test
        fun `refuses a host that is not an IP address`() {
            assertEquals(
                listOf("vm.yaml:4: http: 'localhost' is not an IP address."),
                findingsAfter("127.0.0.1:7101", "localhost:7101"),
            )
        }

        @Test
        fun `refuses an address that is used twice`() {
            assertEquals(
                listOf("vm.yaml:11: peers[0].peer: The address '127.0.0.1:7101' is already used in http."),
                findingsAfter("127.0.0.1:7152", "127.0.0.1:7101"),
            )
        }

        @Test
        fun `refuses a VM that is listed twice`() {
            assertEquals(
                listOf("vm.yaml:7: peers[0].vm: The VM 'vm-a1' is already used in vm."),
                findingsAfter("vm-a2", "vm-a1"),
            )
        }

        @Test
        fun `refuses a voter without a data folder`() {
            assertEquals(
                listOf("vm.yaml:3: voter: A voter requires a data-folder."),
                findingsAfter("region: lakes\nhttp", "voter: true\nregion: lakes\nhttp"),
            )
        }
    }

    @Nested
    inner class Command {
        @TempDir
        lateinit var folder: Path

        private fun run(text: String, vararg options: String) =
            DaemonCommand().test(
                listOf(
                    "--config",
                    folder.resolve("vm.yaml").apply {
                        writeText(text)
                    }.toString(),
                    *options,
                ),
            )

        @Test
        fun `reports findings of schema and rules together and exits with 2`() {
            val result = run(valid.replace("127.0.0.1:7101", "host").replace("4096", "big") + "colour: red\n")
            assertEquals(2, result.statusCode)
            listOf(":4: http", ":13: limits.max-body-bytes", ":14: colour").forEach {
                assertContains(result.stderr, "vm.yaml$it")
            }
        }

        @Test
        fun `checks a valid file and exits with 0`() {
            assertEquals(0, run(valid, "--check").statusCode)
        }

        @Test
        fun `reports a file that does not exist and exits with 2`() {
            val missing = folder.resolve("absent.yaml").toString()
            assertEquals(2, DaemonCommand().test(listOf("--config", missing)).statusCode)
        }
    }
}
