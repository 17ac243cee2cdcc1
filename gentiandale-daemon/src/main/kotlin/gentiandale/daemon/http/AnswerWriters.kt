package gentiandale.daemon.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.CallOutcome
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.Completion
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await

/** Writes the answer to a completion call as an HTTP response. */
internal fun interface AnswerWriter {
    /** Writes the next part of the answer. */
    fun write(answer: Answer)
}

/**
 * Writes an answer as server-sent events. A complete answer ends with `data: [DONE]`. An answer that fails after its
 * first event ends with `event: error` and a problem document, and never with `[DONE]`.
 */
internal class StreamingAnswerWriter(
    private val format: CompletionFormat,
    private val completion: Completion,
    private val writer: HttpResponseWriter,
) : AnswerWriter {
    private val id = completion.route.request.value
    private val model = completion.route.model.value
    private var started = false

    override fun write(answer: Answer) = when (answer) {
        is Answer.Token -> sendEvent(format.chunk(id, model, answer.text, finish = null))
        is Answer.Finished -> {
            sendEvent(format.chunk(id, model, "", answer.finish))
            writer.send(HttpData.ofUtf8("data: [DONE]\n\n"))
            writer.close()
        }
        is Answer.Refused -> refuse(answer)
    }

    private fun sendEvent(body: CompletionBody) {
        if (!started) {
            started = true
            writer.send(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.EVENT_STREAM).build())
        }
        writer.send(HttpData.ofUtf8("data: ${HttpJson.encodeToString(CompletionBody.serializer(), body)}\n\n"))
    }

    private fun refuse(answer: Answer.Refused) {
        if (!started) return writer.respond(answer.refusal.toProblem(id))
        val problem = answer.refusal.copy(outcome = CallOutcome.UNKNOWN).toProblem(id)
        val text = HttpJson.encodeToString(Problem.serializer(), problem)
        writer.send(HttpData.ofUtf8("event: error\ndata: $text\n\n"))
        writer.close()
    }
}

/** Collects an answer and writes it as one JSON document once it is complete. */
internal class BufferedAnswerWriter(
    private val format: CompletionFormat,
    private val completion: Completion,
    private val writer: HttpResponseWriter,
) : AnswerWriter {
    private val text = StringBuilder()

    override fun write(answer: Answer) {
        when (answer) {
            is Answer.Token -> text.append(answer.text)
            is Answer.Finished -> finish(answer)
            is Answer.Refused -> writer.respond(answer.refusal.toProblem(completion.route.request.value))
        }
    }

    private fun finish(answer: Answer.Finished) {
        val route = completion.route
        val usage = Usage(route.promptTokens, answer.tokens, route.promptTokens + answer.tokens)
        val body = format.completeAnswer(route.request.value, route.model.value, text.toString(), answer.finish, usage)
        writer.send(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).build())
        writer.send(HttpData.ofUtf8(HttpJson.encodeToString(CompletionBody.serializer(), body)))
        writer.close()
    }
}

/** Writes [problem] as the complete response. */
internal fun HttpResponseWriter.respond(problem: Problem, headers: ResponseHeaders = problem.headers()) =
    respond(headers, HttpData.ofUtf8(HttpJson.encodeToString(Problem.serializer(), problem)))

/** Writes [headers] and [content] as the complete response. */
internal fun HttpResponseWriter.respond(headers: ResponseHeaders, content: HttpData) {
    send(headers)
    send(content)
    close()
}

/**
 * Suspends until the response has been written to the caller's connection or the caller has disconnected. A caller that
 * reads slowly receives it long after the writer was closed.
 */
internal suspend fun ServiceRequestContext.awaitDelivery() {
    log().whenComplete().await()
}

/** Writes [part], or cancels the coroutine if the caller has disconnected. */
private fun HttpResponseWriter.send(part: HttpObject) {
    if (!tryWrite(part)) throw CancellationException("The caller has disconnected.")
}
