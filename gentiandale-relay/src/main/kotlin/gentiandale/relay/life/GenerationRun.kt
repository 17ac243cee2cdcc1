package gentiandale.relay.life

import gentiandale.relay.backend.Backend
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass

/**
 * The call that has [server] make an answer, from the KV cache [source] or by reading the prompt of [promptTokens]
 * tokens itself. Events go to [stream].
 */
internal class GenerationRun(
    val server: Backend,
    val source: KvCache?,
    private val promptTokens: Int,
    private val stream: CallerStream,
    private val context: RelayContext,
    private val owner: Owner,
) : SendHandler {
    /** The request that the call is made for; it decides what follows. */
    interface Owner {
        /** Whether the request has its final answer. */
        val hasEnded: Boolean

        /** Returns the call to write now, which counts as an attempt. */
        fun begin(run: GenerationRun): FullHttpRequest

        /** One more event has been passed on. */
        fun onEvent()

        /** The whole answer has been passed on; its status was [status]. */
        fun onStreamed(status: Int)

        /** The server states with [status] that it has not run the request. */
        fun onRejected(run: GenerationRun, status: Int)

        /** The answer with [head] and [body] is no stream; the body is valid during the call only. */
        fun onBadAnswer(run: GenerationRun, head: HttpResponse, body: ByteBuf)

        /** No whole answer came. */
        fun onRunFailed(run: GenerationRun, failure: SendFailure)
    }

    private val splitter = EventSplitter()
    private var head: HttpResponse? = null
    private var body: ByteBuf = Unpooled.EMPTY_BUFFER
    private var isReading = source == null
    private var sentMs = context.nowMs()

    init {
        if (isReading) server.promptTokens += promptTokens
    }

    override fun request(): FullHttpRequest {
        sentMs = context.nowMs()
        return owner.begin(this)
    }

    override fun onHead(head: HttpResponse) {
        this.head = head
    }

    override fun onContent(content: ByteBuf) {
        val answer = head ?: return
        if (isStream(answer)) {
            if (isReading) server.onPromptRead(promptTokens.toLong(), context.nowMs() - sentMs)
            stopReading()
            splitter.feed(content).forEach { pass(it, answer) }
        } else if (body.readableBytes() < MAX_FAILURE_BYTES) {
            body = Unpooled.wrappedBuffer(body, content.retain())
        }
    }

    private fun pass(event: StreamEvent, answer: HttpResponse) {
        if (owner.hasEnded || stream.knows(event)) {
            event.bytes.release()
            return
        }
        stream.pass(event, answer)
        owner.onEvent()
    }

    private fun stopReading() {
        if (!isReading) return
        isReading = false
        server.promptTokens -= promptTokens
        context.news.onLoadChanged()
    }

    override fun onEnd() {
        stopReading()
        val answer = head ?: return
        val status = answer.status().code()
        if (isStream(answer)) {
            stream.end(splitter.takeRest(), answer)
            return owner.onStreamed(status)
        }
        if (context.dialect.isNotExecuted(status, answer.headers())) {
            owner.onRejected(this, status)
        } else {
            owner.onBadAnswer(this, answer, body)
        }
        body.release()
    }

    override fun onDropped() {
        stopReading()
        splitter.clear()
        body.release()
    }

    override fun onFailure(failure: SendFailure) {
        onDropped()
        owner.onRunFailed(this, failure)
    }

    private fun isStream(answer: HttpResponse): Boolean =
        answer.status().codeClass() == HttpStatusClass.SUCCESS &&
            context.dialect.isSigned(answer.headers()) &&
            !answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)

    private companion object {
        /** Bytes of an answer that is no stream beyond which it is not kept; it states a failure and little else. */
        const val MAX_FAILURE_BYTES = 65_536
    }
}
