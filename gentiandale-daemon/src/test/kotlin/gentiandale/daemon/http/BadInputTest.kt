package gentiandale.daemon.http

import gentiandale.daemon.FleetFixture
import gentiandale.daemon.settings.LimitSettings
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BadInputTest : FleetFixture() {
    @BeforeTest
    fun start() = startVms(limits = LimitSettings(serverTimeoutMs = 600_000, maxBodyBytes = 10_000))

    private fun assertRefused(status: Int, reason: String, body: String, headers: Map<String, String> = emptyMap()) {
        val response = post(0, "/v1/completions", body, headers)
        val text = response.contentUtf8()
        assertEquals(status, response.status().code(), text)
        assertTrue("\"reason\":\"$reason\"" in text && "\"outcome\":\"not-run\"" in text, text)
        assertNothingHeld()
        assertTrue(engines.all { it.calls.isEmpty() })
    }

    @Nested
    inner class Completion {
        @Test
        fun `is refused if it is not JSON`() = assertRefused(400, "bad-request", "{\"model\":")

        @Test
        fun `is refused with all findings together`() {
            val body = """{"model":"","max_tokens":-1}"""
            val text = post(0, "/v1/completions", body, mapOf("x-gentian-deadline-ms" to "soon")).contentUtf8()
            listOf("model", "prompt", "max_tokens", "x-gentian-deadline-ms").forEach {
                assertTrue("\"field\":\"$it\"" in text, text)
            }
        }

        @Test
        fun `is refused if it asks for no tokens`() =
            assertRefused(400, "bad-request", """{"model":"m","prompt":"p","max_tokens":0}""")

        @Test
        fun `is refused for an unknown model`() =
            assertRefused(404, "unknown-model", """{"model":"x","prompt":"p"}""")

        @Test
        fun `is refused if its deadline has passed`() =
            assertRefused(504, "deadline", call(3), mapOf("x-gentian-deadline-ms" to "-5"))

        @Test
        fun `is refused if its body is too large`() =
            assertRefused(413, "too-large", """{"model":"m","prompt":"${"p".repeat(20_000)}"}""")

        @Test
        fun `is released if its connection closes in the middle of the body`() {
            val port = vms[0].httpPort
            Socket("127.0.0.1", port).use {
                val head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{\"model\""
                it.getOutputStream().write(head.toByteArray())
                it.getOutputStream().flush()
                await("the call is being served") { vms[0].runningCalls == 1 }
            }
            await("the call has ended") { vms[0].runningCalls == 0 }
            assertNothingHeld()
        }
    }
}
