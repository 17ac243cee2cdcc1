package gentiandale.relay.caller

import gentiandale.core.log.EventLog
import gentiandale.relay.ConnectionUse
import gentiandale.relay.RelayEvent
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Records why the connection of a caller ends and what is left on it, and logs both. */
internal class ConnectionEnd(private val channel: Channel, private val log: EventLog) {
    private var isLogged = false
    private var isAnswerUnwritten = false
    private var unserved = 0
    private var firstReason: String? = null

    /** Why the connection ends; the first reason counts. */
    val reason: String get() = firstReason ?: "caller closed the connection"

    /** Sets the reason of the end. An end that is not [isLogged] is expected, unless a request or an answer is left. */
    fun note(reason: String, isLogged: Boolean) {
        if (firstReason == null) firstReason = reason
        if (isLogged) this.isLogged = true
    }

    /** Notes that the end of an answer could not be written because of [cause]. */
    fun onAnswerUnwritten(cause: Throwable?) {
        isAnswerUnwritten = true
        note("answer not written: $cause", isLogged = true)
    }

    /** Counts [requests] that arrived and are not served. */
    fun onUnserved(requests: Int) {
        unserved += requests
    }

    /** Releases [part] of a request that is not served. */
    fun discard(part: HttpObject) {
        if (part.endsRequest) unserved++
        ReferenceCountUtil.release(part)
    }

    /** Logs the end of the connection, whose last use was [use]. */
    fun write(use: ConnectionUse, wasBusy: Boolean) {
        if (!isLogged && unserved == 0) return
        val from = channel.remoteAddress()?.toString()
        log.write(RelayEvent.CallerCut(from, reason, use, wasBusy, unserved, isAnswerUnwritten))
    }
}

/** Whether a complete request ends with this part. */
internal val HttpObject.endsRequest: Boolean get() = this is LastHttpContent && decoderResult().isSuccess
