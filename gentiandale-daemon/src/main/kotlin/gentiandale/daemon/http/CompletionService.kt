package gentiandale.daemon.http

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.Refusal
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.Completion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch

/** Serves completion calls of one [format]. The work is cancelled when its caller disconnects. */
internal class CompletionService(
    private val format: CompletionFormat,
    private val reader: CompletionReader,
    private val gate: CallGate,
    private val scope: CoroutineScope,
    private val run: (Completion) -> Flow<Answer>,
) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val writer = HttpResponse.streaming()
        val job = scope.launch {
            gate.admit({ refuse(writer, it) }) {
                respond(writer, req)
                ctx.awaitDelivery()
            }
        }
        job.invokeOnCompletion { cause -> if (cause != null) writer.close(cause) }
        writer.whenComplete().whenComplete { _, cause -> if (cause != null) job.cancel() }
        return writer
    }

    private suspend fun respond(writer: HttpResponseWriter, req: HttpRequest) {
        val result = when (val body = req.readBody()) {
            is BodyResult.Refused -> CompletionReadResult.Refused(body.refusal)
            is BodyResult.Complete -> reader.read(body.request)
        }
        when (result) {
            is CompletionReadResult.Refused -> writer.respond(result.refusal.toProblem(findings = result.findings))
            is CompletionReadResult.Valid -> {
                val answerWriter: AnswerWriter = if (result.streamed) {
                    StreamingAnswerWriter(format, result.completion, writer)
                } else {
                    BufferedAnswerWriter(format, result.completion, writer)
                }
                run(result.completion).collect(answerWriter::write)
            }
        }
    }

    private fun refuse(writer: HttpResponseWriter, refusal: Refusal) = writer.respond(refusal.toProblem())
}
