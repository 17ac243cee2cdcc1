package gentiandale.relay.request

import gentiandale.relay.backend.Backend
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * The call by which [server] reads a prompt of [promptTokens] tokens.
 *
 * @param build returns the HTTP request to write.
 */
internal class PrefillCall(
    private val server: Backend,
    private val promptTokens: Int,
    private val context: RelayContext,
    private val build: () -> FullHttpRequest,
    private val listener: Listener,
) : SendHandler {
    /** Receives the result of the call. */
    interface Listener {
        /** Called when [server] keeps the KV cache under [handle]. */
        fun onCache(server: Backend, handle: String)

        /** Called on [status] without a KV cache; [isRejected] if [server] states that it has not executed the call. */
        fun onNoCache(server: Backend, status: Int, isRejected: Boolean)

        /** Called when no complete answer has arrived. */
        fun onPrefillFailed(server: Backend, failure: SendFailure)
    }

    private val queuedTokens = server.load.promptTokens + promptTokens
    private var status = HttpResponseStatus.OK
    private var headers: HttpHeaders? = null
    private val body = AnswerBuffer(MAX_BODY_BYTES)
    private var sentMs = context.nowMs()
    private var isPrefilling = true

    init {
        server.promptTokens += promptTokens
    }

    override fun request(): FullHttpRequest {
        sentMs = context.nowMs()
        return build()
    }

    override fun onHead(head: HttpResponse) {
        status = head.status()
        headers = head.headers()
    }

    override val bodyTimeoutMs: Long get() = BODY_TIMEOUT_MS

    override fun onContent(content: ByteBuf): BodyVerdict {
        val fits = body.append(content)
        return if (fits) BodyVerdict.Continue else BodyVerdict.GiveUp("prefill answer over $MAX_BODY_BYTES bytes")
    }

    override fun onEnd() {
        val handle = if (status == HttpResponseStatus.OK) context.dialect.prefillHandle(body.content) else null
        release()
        if (handle == null) {
            val isRejected = headers?.let { context.dialect.isNotExecuted(status.code(), it) } ?: false
            return listener.onNoCache(server, status.code(), isRejected)
        }
        server.onPromptRead(queuedTokens, context.nowMs() - sentMs)
        listener.onCache(server, handle)
    }

    override fun onFailure(failure: SendFailure) {
        release()
        listener.onPrefillFailed(server, failure)
    }

    override fun release() {
        body.release()
        if (!isPrefilling) return
        isPrefilling = false
        server.promptTokens -= promptTokens
        context.listener.onLoadChanged()
    }

    private companion object {
        /** The answer contains a handle and little else. */
        const val MAX_BODY_BYTES = 65_536

        /** The KV cache expires within about half a second, so a handle that comes later is of no use. */
        const val BODY_TIMEOUT_MS = 500L
    }
}
