package gentiandale.relay.request

import gentiandale.relay.RelayEvent
import gentiandale.relay.backend.Backend
import gentiandale.relay.upstream.AnswerFraming
import gentiandale.relay.upstream.AnswerListener
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import java.util.concurrent.TimeUnit

/** KV cache of the prompt of [request], which [server] keeps under [handle] for a limited time. */
internal class KvCache(val server: Backend, val handle: String, private val request: String?) {
    /** Frees the cache, which will not be used; if the call fails, the cache expires on its own. */
    fun release(context: RelayContext) {
        val startMs = context.nowMs()
        if (server.isResting(startMs) || !server.limit.take(startMs)) return
        val listener = object : AnswerListener {
            private var sentMs = Long.MIN_VALUE

            override fun onConnected(): FullHttpRequest {
                sentMs = server.limit.onSent(context.nowMs())
                return context.dialect.releaseCache(handle)
            }

            override fun onHead(head: HttpResponse) = context.readNotices(server, request, head, sentMs)

            override fun onContent(content: ByteBuf) = Unit

            override fun onEnd(framing: AnswerFraming) = Unit

            override fun onFailure(failure: SendFailure) {
                val elapsedMs = context.nowMs() - startMs
                context.log.write(
                    RelayEvent.SendFailed(request, "release", server.row.id, failure.reason, elapsedMs),
                )
            }
        }
        val exchange = context.upstreams.send(server, null, Long.MAX_VALUE, listener)
        context.loop.schedule(exchange::cancel, TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** By then the cache has expired anyway. */
        const val TIMEOUT_MS = 1_000L
    }
}
