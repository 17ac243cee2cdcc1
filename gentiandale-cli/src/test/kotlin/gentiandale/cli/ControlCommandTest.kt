package gentiandale.cli

import com.github.ajalt.clikt.testing.test
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.stream.ClosedStreamException
import gentiandale.cli.document.lineDiff
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ControlCommandTest : ControlFixture() {
    @Nested
    inner class Apply {
        private fun submit(vararg args: String, text: String = rank) = run("apply", "-f", file(text).toString(), *args)

        @Test
        fun `submits all documents under the given key`() {
            respond("""{"revision":7,"records":[{"kind":"rank","name":"urgent","schema":1,"version":3,"body":""}]}""")
            val result = submit("--key", "op-1")
            assertEquals(0, result.statusCode)
            assertContains(result.stdout, Regex("rank +urgent +3 +7"))
            val body = calls.single().contentUtf8()
            assertContains(body, """"operation_key":"op-1"""")
            assertContains(body, """"expected_version":2,"body":"order: 0\nfirst-token-ms: 500"""")
            assertContains(body, """"expected_version":0,"body":"{order: 1}"""")
        }

        @Test
        fun `prints a generated key and the retry command when the outcome is unknown`() {
            respond("""{"reason":"no-majority","detail":"No answer in time.","outcome":"unknown"}""", status = 504)
            val result = submit()
            assertEquals(ExitCode.OUTCOME_UNKNOWN, result.statusCode)
            val key = result.stderr.lines().first().removePrefix("Operation key: ")
            assertContains(result.stderr, "--key $key")
            assertContains(calls.single().contentUtf8(), key)
        }

        @Test
        fun `treats a broken connection as an unknown outcome`() {
            response = {
                HttpResponse.streaming().apply {
                    write(ResponseHeaders.of(HttpStatus.OK))
                    close(ClosedStreamException.get())
                }
            }
            assertEquals(ExitCode.OUTCOME_UNKNOWN, submit().statusCode)
        }

        @Test
        fun `maps findings of the VM to their lines in the file`() {
            val place = """{"source":"submission","line":2,"field":"records[0].body.first-token-ms"}"""
            val findings = """[{"place":$place,"message":"Too small."}]"""
            respond("""{"reason":"bad-request","detail":"x","outcome":"not-run","findings":$findings}""", status = 422)
            val result = submit()
            assertEquals(ExitCode.REFUSED, result.statusCode)
            assertContains(result.stderr, "ranks.yaml:8: spec.first-token-ms: rank/urgent: Too small.")
        }

        @Test
        fun `reports all findings of an invalid file without a call to the VM`() {
            val invalid = rank.replace("schema: 1", "schema: x\ncolour: red").replace("spec: {order: 1}", "")
            val result = submit(text = invalid)
            assertEquals(ExitCode.BAD_INPUT, result.statusCode)
            listOf(":4: schema", ":5: colour", ":11: spec").forEach { assertContains(result.stderr, "ranks.yaml$it") }
            assertTrue(calls.isEmpty())
        }
    }

    @Nested
    inner class Reading {
        private val storedRecords =
            """{"revision":7,"records":[{"kind":"rank","name":"urgent","schema":1,"version":2,
                "body":"order: 0\nfirst-token-ms: 660"}]}"""

        @Test
        fun `get prints documents that apply accepts`() {
            respond(storedRecords)
            val expected = "kind: rank\nname: urgent\nschema: 1\nversion: 2\nspec:\n  order: 0\n  first-token-ms: 660\n"
            assertEquals(expected, run("get", "rank", "--output", "yaml").stdout)
            assertEquals("/v1/records?kind=rank", calls.single().path())
        }

        @Test
        fun `diff shows changed lines and new records`() {
            respond(storedRecords)
            val lines = run("diff", "-f", file(rank).toString()).stdout.lines().map { it.trim() }
            assertContains(lines, "rank/urgent: change version 2")
            assertContains(lines, "- first-token-ms: 660")
            assertContains(lines, "+ first-token-ms: 500")
            assertContains(lines, "rank/routine: create")
        }

        @Test
        fun `status shows VMs and servers`() {
            val facts = """{"server":"p1","incarnation":1,"address":{"host":"10.0.0.9","port":1},"data_centre":"dc-a",
                "kind":"prefill","model":"chat-small","places":20,"memory_blocks":400}"""
            respond(
                """{"vm":"vm-a1","draining":false,"revision":3,
                "servers":[{"facts":$facts,"load":{"running":4,"used_blocks":9},"seen_ms_ago":12}]}""",
            )
            val text = run("status").stdout
            assertContains(text, Regex("vm-a1 +3 +never +false"))
            assertContains(text, Regex("p1 +dc-a +prefill +chat-small +4 +0 +20 +9/400 +12"))
            assertContains(run("--output", "json", "status").stdout, "\"used_blocks\": 9")
        }

        @Test
        fun `history and explain print one row per change and decision`() {
            respond(
                """{"changes":[{"revision":7,"at_ms":0,"operation_key":"op-1",
                "records":[{"kind":"rank","name":"urgent","version":2},{"kind":"rank","name":"old"}]}]}""",
            )
            assertContains(
                run("history").stdout,
                Regex("7 +1970-01-01T00:00:00Z +op-1 +rank/urgent v2, rank/old deleted"),
            )
            respond("""{"request":"r/1","events":[{"at_ms":0,"vm":"vm-a1","text":"Placed."}]}""")
            assertContains(run("explain", "r/1").stdout, Regex("vm-a1 +Placed\\."))
            assertEquals("/v1/requests/r%2F1", calls.last().path())
        }
    }

    @Nested
    inner class VotersCommands {
        @Test
        fun `add a VM and print the resulting voters`() {
            respond("""{"voters":[{"vm":"vm-a1","folder":"f1"},{"vm":"vm-b1","folder":"f2"}]}""")
            assertContains(run("voters", "--add", "vm-b1").stdout, Regex("vm-b1 +f2"))
            assertContains(calls.single().contentUtf8(), """"add":"vm-b1"""")
        }

        @Test
        fun `require a VM to add or to remove`() {
            assertEquals(ExitCode.BAD_INPUT, run("voters").statusCode)
            assertTrue(calls.isEmpty())
        }
    }

    @Nested
    inner class ExitCodes {
        @Test
        fun `an unreachable VM gives 3`() {
            assertEquals(ExitCode.NOT_REACHABLE, run("status", "--vm", "127.0.0.1:1").statusCode)
        }

        @Test
        fun `a refusal gives 1 and prints when to retry`() {
            respond(
                """{"reason":"draining","detail":"It drains.","outcome":"not-run","retry_after_ms":500}""",
                status = 503,
            )
            val result = run("drain")
            assertEquals(ExitCode.REFUSED, result.statusCode)
            assertContains(result.stderr, "Refused (draining): It drains. Try again in 500 ms.")
        }

        @Test
        fun `a missing --vm option gives 2`() {
            val result = ControlCommand().test(listOf("status"))
            assertEquals(ExitCode.BAD_INPUT, result.statusCode)
        }

        @Test
        fun `an error status without a problem document is still a refusal`() {
            response = { HttpResponse.of(HttpStatus.NOT_FOUND) }
            assertEquals(ExitCode.REFUSED, run("history").statusCode)
        }
    }

    @Nested
    inner class Diff {
        @Test
        fun `keeps common lines`() {
            assertEquals(listOf("  a", "- b", "+ x", "  c"), lineDiff(listOf("a", "b", "c"), listOf("a", "x", "c")))
        }
    }
}
