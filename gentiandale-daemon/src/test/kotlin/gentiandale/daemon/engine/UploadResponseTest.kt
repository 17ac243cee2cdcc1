package gentiandale.daemon.engine

import gentiandale.core.Attempt
import gentiandale.core.DataCentreId
import gentiandale.core.FencingNumber
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.engine.CancelRequest
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.EngineOrder
import gentiandale.core.engine.PrefillRequest
import gentiandale.daemon.RawServer
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Engines that answer while the body of a call is still being written to them, and statuses that are none. */
class UploadResponseTest {
    private val client = EngineClient()
    private val model = ModelId("m")
    private val id = RequestId("a")

    @AfterEach
    fun close() = client.close()

    /** Returns whether [call] yields a result, and of which kind the failure is otherwise. */
    private fun outcome(call: suspend () -> Any): String = try {
        runBlocking { withTimeout(TIMEOUT_MS) { "result ${call()}" } }
    } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
        "timeout $e"
    } catch (_: Exception) {
        FAILED
    }

    private fun prefill(server: RawServer, bytes: Int) = outcome {
        val prompt = "p".repeat(bytes)
        client.prefill(server.address, PrefillRequest(id, Attempt(1), model, prompt = prompt, deadlineMs = TIMEOUT_MS))
    }

    private fun decode(server: RawServer, bytes: Int) = outcome {
        val request = DecodeRequest(
            id,
            Attempt(1),
            model,
            prompt = "p".repeat(bytes),
            kvSource = "127.0.0.1:1",
            kvHandle = "h",
            maxTokens = 1,
            deadlineMs = TIMEOUT_MS,
        )
        client.decode(server.address, request) { }.toList()
    }

    private fun cancel(server: RawServer) = outcome { client.cancel(server.address, CancelRequest(id, Attempt(1))) }

    private fun order(server: RawServer): Boolean = runBlocking {
        val facts = ServerFacts(
            ServerId("s"),
            Incarnation(1),
            server.address,
            DataCentreId("dc"),
            ServerKind.DECODE,
            model,
            places = 1,
        )
        HttpOrderSender().send(facts, EngineOrder(FencingNumber(1), model, "v1"), TIMEOUT_MS)
    }

    /** Replies whose bytes parse as a whole one. */
    @Nested
    inner class CutReply {
        @Test
        fun `to a prefill is a failure`() =
            assertEquals(emptyMap(), RawServer.cut(PREFILLED, FAILED) { prefill(it, RawServer.UPLOAD_BYTES) })

        @Test
        fun `to a decode is a failure`() =
            assertEquals(emptyMap(), RawServer.cut(EVENT, FAILED) { decode(it, RawServer.UPLOAD_BYTES) })

        // Guards against a body that counts as written before the answer, as a late event loop writes before it reads.
        @Test
        fun `to a prefill is a failure though the event loop was busy when it came`() =
            assertEquals(emptyMap(), RawServer.cutInStall(PREFILLED, FAILED) { prefill(it, RawServer.STALLED_BYTES) })

        @Test
        fun `to a decode is a failure though the event loop was busy when it came`() =
            assertEquals(emptyMap(), RawServer.cutInStall(EVENT, FAILED) { decode(it, RawServer.STALLED_BYTES) })
    }

    @Nested
    inner class BadStatus {
        @Test
        fun `of a prefill is a failure`() =
            assertEquals(emptyMap(), RawServer.badStatus(PREFILLED, FAILED) { prefill(it, bytes = 1) })

        @Test
        fun `of a decode is a failure`() =
            assertEquals(emptyMap(), RawServer.badStatus(EVENT, FAILED) { decode(it, bytes = 1) })

        @Test
        fun `of a cancel is a failure`() =
            assertEquals(emptyMap(), RawServer.badStatus("""{"request":"a","held":true}""", FAILED) { cancel(it) })

        @Test
        fun `of an order is a failure`() = assertEquals(emptyMap(), RawServer.badStatus("", false) { order(it) })
    }

    private companion object {
        const val TIMEOUT_MS = 3_000L
        const val FAILED = "failed"
        const val PREFILLED = """{"request":"a","attempt":1,"handle":"h","prompt_tokens":1,"expires_in_ms":9}"""
        const val EVENT = "data: {\"request\":\"a\",\"attempt\":1,\"index\":0,\"text\":\"t\"}\n\n"
    }
}
