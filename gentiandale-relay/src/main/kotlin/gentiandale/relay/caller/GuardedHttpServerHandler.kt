package gentiandale.relay.caller

import gentiandale.core.log.EventLog
import gentiandale.relay.RelayEvent
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders

/** Answers a request with 500 if [service] throws, so that its connection stays open. */
internal class GuardedHttpServerHandler(
    private val service: HttpServerHandler,
    private val log: EventLog,
) : HttpServerHandler {
    override fun serve(request: HttpServerRequest, reply: HttpServerReply): (String) -> Unit = try {
        service.serve(request, reply)
    } catch (error: Exception) {
        log.write(RelayEvent.StepFailed(null, error))
        if (request.body.refCnt() > 0) request.body.release()
        reply.answer(INTERNAL_SERVER_ERROR, DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)
        NO_ACTION
    }

    private companion object {
        const val INTERNAL_SERVER_ERROR = 500
        val NO_ACTION: (String) -> Unit = { }
    }
}
