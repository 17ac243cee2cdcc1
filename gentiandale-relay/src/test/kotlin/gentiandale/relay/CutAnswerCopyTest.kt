package gentiandale.relay

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertFalse

/** Guards against passing on an answer that was cut and whose stated length the second answer fills up. */
class CutAnswerCopyTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    @Test
    fun `a cut answer is not whole because its second answer follows`() {
        relay.server("a") { request, socket ->
            val head = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\ncontent-length: 30\r\n\r\n"
            socket.getOutputStream().write((head + "0123456789" + head + "0123456789").toByteArray())
            false
        }
        val answer = relay.get("/once/1")
        assertFalse(answer.startsWith("HTTP/1.1 200"), answer)
    }
}
