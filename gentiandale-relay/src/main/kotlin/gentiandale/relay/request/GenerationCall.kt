package gentiandale.relay.request

import gentiandale.relay.backend.Backend
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass

/**
 * The call by which [server] generates an answer, from the KV cache [source] or by reading the prompt of
 * [promptTokens] tokens itself. Events are forwarded to [stream].
 */
internal class GenerationCall(
    val server: Backend,
    val source: KvCache?,
    private val promptTokens: Int,
    private val stream: CallerStream,
    private val context: RelayContext,
    private val listener: Listener,
) : SendHandler {
    /** Receives the result of the call and decides what follows. */
    interface Listener {
        /** Whether the request already has its final answer. */
        val hasEnded: Boolean

        /** Counts an attempt and returns the HTTP request to write. */
        fun startAttempt(generation: GenerationCall): FullHttpRequest

        /** Called after each event that has been forwarded. */
        fun onEvent()

        /** Called when the whole answer has been forwarded with [status]. */
        fun onCompleted(status: Int)

        /** Called when the server states with [status] that it has not executed the request. */
        fun onRejected(generation: GenerationCall, status: Int)

        /** Called when the answer with [head] is not a stream; [body] is valid only during the call. */
        fun onBadAnswer(generation: GenerationCall, head: HttpResponse, body: ByteBuf)

        /** Called when no complete answer has arrived. */
        fun onCallFailed(generation: GenerationCall, failure: SendFailure)
    }

    private val splitter = EventSplitter()
    private var head: HttpResponse? = null
    private var body: ByteBuf = Unpooled.EMPTY_BUFFER
    private var isPrefilling = source == null
    private var sentMs = context.nowMs()

    init {
        if (isPrefilling) server.promptTokens += promptTokens
    }

    override fun request(): FullHttpRequest {
        sentMs = context.nowMs()
        return listener.startAttempt(this)
    }

    override fun onHead(head: HttpResponse) {
        this.head = head
    }

    override fun onContent(content: ByteBuf) {
        val answer = head ?: return
        if (isStream(answer)) {
            if (isPrefilling) server.onPromptRead(promptTokens.toLong(), context.nowMs() - sentMs)
            endPrefill()
            splitter.feed(content).forEach { forward(it, answer) }
        } else if (body.readableBytes() < MAX_ERROR_BODY_BYTES) {
            body = Unpooled.wrappedBuffer(body, content.retain())
        }
    }

    private fun forward(event: StreamEvent, answer: HttpResponse) {
        if (listener.hasEnded || stream.hasSent(event)) {
            event.bytes.release()
            return
        }
        stream.forward(event, answer)
        listener.onEvent()
    }

    private fun endPrefill() {
        if (!isPrefilling) return
        isPrefilling = false
        server.promptTokens -= promptTokens
        context.listener.onLoadChanged()
    }

    override fun onEnd() {
        endPrefill()
        val answer = head ?: return
        val status = answer.status().code()
        if (isStream(answer)) {
            stream.end(splitter.takeRemainder(), answer)
            return listener.onCompleted(status)
        }
        if (context.dialect.isNotExecuted(status, answer.headers())) {
            listener.onRejected(this, status)
        } else {
            listener.onBadAnswer(this, answer, body)
        }
        body.release()
    }

    override fun release() {
        endPrefill()
        splitter.clear()
        body.release()
    }

    override fun onFailure(failure: SendFailure) {
        release()
        listener.onCallFailed(this, failure)
    }

    private fun isStream(answer: HttpResponse): Boolean =
        answer.status().codeClass() == HttpStatusClass.SUCCESS &&
            context.dialect.isSigned(answer.headers()) &&
            !answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)

    private companion object {
        /** An answer that is not a stream is an error message; bytes beyond this size are discarded. */
        const val MAX_ERROR_BODY_BYTES = 65_536
    }
}
