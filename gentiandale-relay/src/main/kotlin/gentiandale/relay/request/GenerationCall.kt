package gentiandale.relay.request

import gentiandale.relay.backend.Backend
import gentiandale.relay.upstream.AnswerFraming
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
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

        /** Called after each event of [generation] that has been forwarded. */
        fun onEvent(generation: GenerationCall)

        /** Called once when [generation] has shown that its engine can answer the request. */
        fun onEstablished(generation: GenerationCall)

        /** Called when the whole answer has been forwarded with [status]. */
        fun onCompleted(status: Int)

        /** Called when the server states in [head] that it has not executed the request. */
        fun onRejected(generation: GenerationCall, head: HttpResponse)

        /** Called when the answer with [head] is not a stream; [body] is valid only during the call. */
        fun onBadAnswer(generation: GenerationCall, head: HttpResponse, body: ByteBuf)

        /** Called when no complete answer has arrived. */
        fun onCallFailed(generation: GenerationCall, failure: SendFailure)
    }

    private val splitter = EventSplitter()
    private var head: HttpResponse? = null
    private val body = AnswerBuffer(MAX_ERROR_BODY_BYTES)
    override var eventCount = 0
        private set
    private var firstEventMs: Long? = null

    /** Whether the engine has shown that it can answer the request. */
    var isEstablished = false
        private set
    private var isPrefilling = source == null
    private var sentMs = context.nowMs()

    /** What [server] is asked to do. */
    val operation: String
        get() = when {
            server.isPeer -> "forward"
            source == null -> "run"
            else -> "decode"
        }

    /** Time in milliseconds that [server] is expected to read the prompt for. */
    val prefillMs: Double
        get() = if (source == null) context.generationPlacement.prefillMs(server, promptTokens) else 0.0

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

    override val bodyTimeoutMs: Long?
        get() = head?.takeIf { !isStream(it) }?.let { ERROR_BODY_TIMEOUT_MS }

    override fun onContent(content: ByteBuf): BodyVerdict {
        val answer = head ?: return BodyVerdict.Continue
        if (!isStream(answer)) {
            val fits = body.append(content)
            return if (fits) BodyVerdict.Continue else BodyVerdict.GiveUp("error body over $MAX_ERROR_BODY_BYTES bytes")
        }
        if (isPrefilling) server.onPromptRead(promptTokens.toLong(), context.nowMs() - sentMs)
        endPrefill()
        splitter.feed(content).forEach { forward(it, answer) }
        if (splitter.bufferedBytes <= MAX_EVENT_BYTES) return BodyVerdict.Continue
        return BodyVerdict.GiveUp("event over $MAX_EVENT_BYTES bytes")
    }

    private fun forward(event: StreamEvent, answer: HttpResponse) {
        if (!event.isComment) countEvent()
        if (listener.hasEnded || stream.hasSent(event)) {
            event.bytes.release()
            return
        }
        stream.forward(event, answer)
        if (!event.isComment) listener.onEvent(this)
    }

    private fun countEvent() {
        eventCount++
        val firstMs = firstEventMs ?: context.nowMs().also { firstEventMs = it }
        if (eventCount > 1 && context.nowMs() - firstMs >= ESTABLISHED_MS) establish()
    }

    private fun establish() {
        if (isEstablished) return
        isEstablished = true
        listener.onEstablished(this)
    }

    private fun endPrefill() {
        if (!isPrefilling) return
        isPrefilling = false
        server.promptTokens -= promptTokens
        context.listener.onLoadChanged()
    }

    override fun judgeEnd(framing: AnswerFraming): AnswerEnd {
        val isStream = head?.let(::isStream) ?: false
        return if (isStream) AnswerEnd.ofStream(framing, eventCount, splitter.tail) else AnswerEnd.Whole
    }

    override fun onEnd() {
        endPrefill()
        val answer = head ?: return
        val status = answer.status().code()
        if (isStream(answer)) {
            establish()
            stream.end(splitter.takeRemainder(), answer)
            return listener.onCompleted(status)
        }
        if (context.dialect.isNotExecuted(status, answer.headers())) {
            listener.onRejected(this, answer)
        } else {
            listener.onBadAnswer(this, answer, body.content)
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
        /** An answer that is not a stream is an error message; one beyond this size is given up. */
        const val MAX_ERROR_BODY_BYTES = 65_536

        /** Time in milliseconds for the body of an error, after which the request is worth more elsewhere. */
        const val ERROR_BODY_TIMEOUT_MS = 500L

        /** An engine that a request crashes ends within a few steps after it has begun the answer. */
        const val ESTABLISHED_MS = 300L

        /** Many times the size of an event with a few tokens. */
        const val MAX_EVENT_BYTES = 262_144
    }
}
