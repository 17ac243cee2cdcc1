package gentiandale.daemon.engine

import gentiandale.core.Address
import gentiandale.core.Attempt
import gentiandale.core.ModelId
import gentiandale.core.RequestId
import gentiandale.core.engine.CancelReply
import gentiandale.core.engine.CancelRequest
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.PrefillRequest
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class EngineClientTest {
    private val client = EngineClient()
    private var server: Http1Engine? = null

    @AfterEach
    fun close() {
        client.close()
        server?.close()
    }

    /** Starts an engine that writes what [answer] returns for the body of each call. */
    private fun start(answer: (String) -> String): Address = Http1Engine(answer).also { server = it }.address

    private fun requestIn(body: String) = body.substringAfter("\"request\":\"").substringBefore('"')

    private fun response(body: String, status: String = "200 OK") =
        "HTTP/1.1 $status\r\ncontent-length: ${body.length}\r\n\r\n$body"

    private suspend fun prefill(engine: Address, id: String) = withTimeout(TIMEOUT_MS) {
        client.prefill(
            engine,
            PrefillRequest(RequestId(id), Attempt(1), ModelId("m"), prompt = "p", deadlineMs = 1_000),
        )
    }

    private suspend fun cancel(engine: Address, id: String): CancelReply = withTimeout(TIMEOUT_MS) {
        client.cancel(engine, CancelRequest(RequestId(id), Attempt(1)))
    }

    /**
     * Late copies of a response over HTTP/1.1, which has no numbers for its streams. A first call finds out that the
     * engine does not support HTTP/2; its connection is not used again in any case.
     */
    @Nested
    inner class LateCopy {
        @Test
        fun `of a failure does not fail the next call`() = runBlocking<Unit> {
            val failure = response("", status = "503 Service Unavailable")
            val engine = start { body ->
                when (val id = requestIn(body)) {
                    "a" -> failure
                    else -> response(
                        """{"request":"$id","attempt":1,"handle":"h","prompt_tokens":1,"expires_in_ms":9}""",
                    )
                }
            }
            prefill(engine, "first")
            assertFailsWith<EngineFailure> { prefill(engine, "a") }
            delay(POOL_RETURN_MS)
            assertEquals("b", prefill(engine, "b").request.value)
        }

        @Test
        fun `of the reply to a cancel does not confirm the next cancel`() = runBlocking<Unit> {
            val engine = start { body ->
                val id = requestIn(body)
                response("""{"request":"$id","held":${id == "a"}}""")
            }
            cancel(engine, "first")
            val replies = listOf("a", "b").map { id -> cancel(engine, id).also { delay(POOL_RETURN_MS) } }
            assertEquals(listOf("a" to true, "b" to false), replies.map { it.request.value to it.held })
        }
    }

    @Test
    fun `an interim response is not the status of a decode`() = runBlocking<Unit> {
        val interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
        val engine = start { body ->
            interim +
                response("""data: {"request":"${requestIn(body)}","attempt":1,"index":0,"finish":"stop"}""" + "\n\n")
        }
        val request = DecodeRequest(
            RequestId("a"),
            Attempt(1),
            ModelId("m"),
            prompt = "p",
            kvSource = "127.0.0.1:1",
            kvHandle = "h",
            maxTokens = 1,
            deadlineMs = TIMEOUT_MS,
        )
        var opened = 0
        val events = withTimeout(TIMEOUT_MS) { client.decode(engine, request) { opened++ }.toList() }
        assertEquals(listOf("stop"), events.map { it.finish })
        assertEquals(1, opened)
    }

    private companion object {
        const val TIMEOUT_MS = 5_000L

        /** Time for a connection to return to the client's pool after its response. */
        const val POOL_RETURN_MS = 100L
    }
}
