package gentiandale.daemon.claim

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.ResponseHeaders
import kotlin.test.Test
import kotlin.test.assertEquals

/** Contents without a length that end with a part of a second response, or with something like one. */
class SecondResponseTest {
    private val head = "HTTP/1.1 200 OK\r\nserver: a\r\nVia: HTTP/1.1 b\r\n\r\n"

    private fun response(content: String, vararg headers: Pair<String, String>): AggregatedHttpResponse {
        val built = ResponseHeaders.builder(200)
        headers.forEach { (name, value) -> built.add(name, value) }
        return AggregatedHttpResponse.of(built.build(), HttpData.ofUtf8(content))
    }

    private fun own(content: String) = response(content, "server" to "a", "via" to "HTTP/1.1 b")

    @Test
    fun `a copy that is cut inside its head is found wherever it is cut`() {
        val missed = (MIN_BYTES until head.length).filterNot { own("whole" + head.take(it)).endsInsideOwnHead() }
        assertEquals(emptyList(), missed)
    }

    @Test
    fun `a copy without headers that is cut inside its head is found wherever it is cut`() {
        val bare = "HTTP/1.1 200 OK\r\n\r\n"
        val missed = (MIN_BYTES until bare.length).filterNot { response("whole" + bare.take(it)).endsInsideOwnHead() }
        assertEquals(emptyList(), missed)
    }

    @Test
    fun `texts that end like other heads are whole`() {
        val texts = listOf(
            "whole",
            "H",
            "HTTP",
            "HTTP/2",
            "we speak HTTP/1.1 only",
            "HTTP/1.1 404 Not Found\r\n",
            "HTTP/1.1 200 OK\r\nserver: a\r\nother: 1\r\n",
            "HTTP/1.1 200 OK\r\noth",
            "HTTP/1.1 200 OK\r\nno header line\r\nser",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 200 OK, then more\nand more",
        )
        assertEquals(emptyList(), texts.filter { own("whole $it").endsInsideOwnHead() })
    }

    @Test
    fun `a content with many first bytes of a head is searched once`() {
        assertEquals(false, own("HTTP/".repeat(MANY) + "x").endsInsideOwnHead())
    }

    private companion object {
        const val MIN_BYTES = "HTTP/".length
        const val MANY = 200_000
    }
}
