package gentiandale.relay.request

import gentiandale.relay.upstream.AnswerFraming
import gentiandale.relay.upstream.AnswerListener
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Runs the steps of one request and reports to [onError] what they throw, since nothing else would end the request. */
internal class StepGuard(private val onError: (Exception) -> Unit) {
    /** Runs [step] and returns its result, or [otherwise] if it throws. */
    fun <T> execute(otherwise: T, step: () -> T): T = try {
        step()
    } catch (error: Exception) {
        onError(error)
        otherwise
    }

    /** Runs [step]. */
    fun execute(step: () -> Unit) = execute(Unit, step)

    /** Returns a listener that guards the calls of [listener]. */
    fun guarded(listener: AnswerListener): AnswerListener = object : AnswerListener {
        override fun onConnected(): FullHttpRequest? = execute(null) { listener.onConnected() }

        override fun onHead(head: HttpResponse) = execute { listener.onHead(head) }

        override fun onContent(content: ByteBuf) = execute { listener.onContent(content) }

        override fun onEnd(framing: AnswerFraming) = execute { listener.onEnd(framing) }

        override fun onFailure(failure: SendFailure) = execute { listener.onFailure(failure) }
    }
}
