package gentiandale.standin.load

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import gentiandale.core.Address
import gentiandale.standin.StandinJson
import gentiandale.standin.engine.AnswerText
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.net.InetSocketAddress
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class LoadRunTest : LoadFixture() {
    private var reply: (CompletionCall) -> HttpResponse = { HttpResponse.of(HttpStatus.OK) }
    private val server = Server.builder().http(InetSocketAddress("127.0.0.1", 0))
        .service("/v1/completions") { _, req ->
            HttpResponse.of(req.aggregate().thenApply { reply(parseCall(it.contentUtf8())) })
        }
        .build()
        .also { it.start().join() }

    @AfterTest
    fun stop() {
        server.stop()
    }

    private fun parseCall(body: String) = StandinJson.decodeFromString(CompletionCall.serializer(), body)

    private fun events(vararg lines: String) =
        HttpResponse.of(HttpStatus.OK, MediaType.EVENT_STREAM, lines.joinToString("") { "$it\n\n" })

    private fun tokens(call: CompletionCall) = (0 until call.maxTokens).map {
        """data: {"choices":[{"text":"${AnswerText.token(call.prompt, it)}"}]}"""
    }

    private val finalEvents = arrayOf("""data: {"choices":[{"text":"","finish_reason":"length"}]}""", "data: [DONE]")

    private fun run(): GroupReport {
        val vm = Address("127.0.0.1", server.activeLocalPort())
        return runBlocking { LoadRun(options.copy(targets = listOf(vm), maxRequests = 3)).run() }.total
    }

    @Nested
    inner class Answers {
        @Test
        fun `that are complete and correct count as answered`() {
            reply = { events(*tokens(it).toTypedArray(), *finalEvents) }
            assertEquals(3, run().answered)
        }

        @Test
        fun `with a missing or duplicate token count as wrong`() {
            reply = { events(*tokens(it).drop(1).toTypedArray(), *finalEvents) }
            assertEquals(3, run().wrong)
            reply = { events(tokens(it).first(), *tokens(it).toTypedArray(), *finalEvents) }
            assertEquals(3, run().wrong)
        }

        @Test
        fun `without a final event or with an error event count as cut`() {
            reply = { events(*tokens(it).toTypedArray()) }
            assertEquals(3, run().cut)
            reply = { events(tokens(it).first(), "event: error\ndata: {\"reason\":\"backend-failed\"}") }
            assertEquals(3, run().cut)
        }

        @Test
        fun `that are problem documents count as refused`() {
            reply = {
                HttpResponse.of(
                    HttpStatus.TOO_MANY_REQUESTS,
                    MediaType.JSON,
                    """{"reason":"overload","outcome":"not-run"}""",
                )
            }
            assertEquals(3, run().refused)
        }
    }

    @Test
    fun `a VM that does not listen counts as unreachable`() = runBlocking<Unit> {
        val report = LoadRun(options.copy(maxRequests = 2)).run()
        assertEquals(2, report.total.unreachable)
    }
}
