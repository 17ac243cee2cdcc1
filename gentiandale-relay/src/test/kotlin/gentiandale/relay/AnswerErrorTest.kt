package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertTrue

/** Answers that the relay fails to handle because of an exception. Their requests end long before the deadline. */
class AnswerErrorTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    private fun statusAfterPrefill(body: String): String {
        relay.prefillServer("p") { request, socket -> FakeServer.reply(socket, request, body) }
        relay.server("d", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..2) }
        return relay.get("/stream-once/1")
    }

    @Test
    fun `a request fails at once if the end of an answer can't be handled`() {
        val answer = statusAfterPrefill(TestDialect.UNREADABLE_BODY)
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer)
    }

    @Test
    fun `a request fails at once if the next request can't be built from an answer`() {
        val answer = statusAfterPrefill("h\r\nother: 1")
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer)
    }
}
