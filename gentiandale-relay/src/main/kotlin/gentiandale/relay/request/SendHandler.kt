package gentiandale.relay.request

import gentiandale.relay.upstream.AnswerFraming
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Whether the rest of an answer is read. */
internal sealed interface BodyVerdict {
    /** The rest is read. */
    data object Continue : BodyVerdict

    /** The answer is given up because of [reason]. */
    data class GiveUp(val reason: String) : BodyVerdict
}

/** Handles the answer to one send of a request to one server. */
internal interface SendHandler {
    /** Time in milliseconds from the head to the end of the answer; null if only the request's deadline applies. */
    val bodyTimeoutMs: Long? get() = null

    /** Events of a stream that the send has yielded, or null if none are expected. */
    val eventCount: Int? get() = null

    /** Returns the HTTP request to write. */
    fun request(): FullHttpRequest

    /** Called with status and headers. */
    fun onHead(head: HttpResponse)

    /** Called with a part of the body. */
    fun onContent(content: ByteBuf): BodyVerdict

    /** Judges an answer that is complete as far as its [framing] shows. */
    fun judgeEnd(framing: AnswerFraming): AnswerEnd = AnswerEnd.Whole

    /** Called at the end of a complete answer. */
    fun onEnd()

    /** Called when no complete answer will arrive. */
    fun onFailure(failure: SendFailure)

    /** Releases the buffers and load of the send; called when it has been cancelled. */
    fun release()
}
