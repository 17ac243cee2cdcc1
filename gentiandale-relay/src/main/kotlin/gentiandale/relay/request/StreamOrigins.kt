package gentiandale.relay.request

import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.OriginTable
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.StreamId
import gentiandale.core.backend.StreamOrigin
import gentiandale.relay.RelayListener
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Origins of the streams that this VM has begun or taken up. They are reported to the control VMs, which are asked for
 * the others. Confined to the event loop.
 */
internal class StreamOrigins(
    private val loop: EventLoop,
    private val nowMs: () -> Long,
    private val listener: RelayListener,
) {
    private data class Batch(val origin: StreamOrigin, val keepMs: Long)

    private val table = OriginTable(MAX_ENTRIES)
    private val unreported = LinkedHashMap<Batch, ArrayList<StreamId>>()
    private var isUrgentScheduled = false
    private var isScheduled = false

    /**
     * Records that [stream] has got an event from a server of [origin].
     *
     * @param keepMs time in milliseconds for which the caller may take it up.
     * @param isUrgent whether servers of several versions serve, so that nobody could infer the origin.
     */
    fun onEvent(stream: StreamId, origin: StreamOrigin, keepMs: Long, isUrgent: Boolean) {
        table.record(stream, origin, nowMs(), keepMs)
        unreported.getOrPut(Batch(origin, keepMs)) { ArrayList() } += stream
        if (isUrgent) scheduleUrgent() else schedule()
    }

    private fun scheduleUrgent() {
        if (isUrgentScheduled) return
        isUrgentScheduled = true
        loop.schedule(::report, URGENT_DELAY_MS, TimeUnit.MILLISECONDS)
    }

    private fun schedule() {
        if (isScheduled || isUrgentScheduled) return
        isScheduled = true
        loop.schedule(::report, DELAY_MS, TimeUnit.MILLISECONDS)
    }

    private fun report() {
        isScheduled = false
        isUrgentScheduled = false
        val batches = unreported.toList()
        unreported.clear()
        batches.forEach { (batch, streams) -> listener.onStreamsBegun(batch.origin, streams, batch.keepMs) }
    }

    /** Calls [done] with what this VM or the control VMs know about the origin of [stream], if it is known by id. */
    fun find(stream: StreamId?, service: ServiceName, done: (OriginLookup) -> Unit) {
        val own = stream?.let { table.find(it, nowMs(), source = "own record") }
        if (own != null) return done(own)
        var isDone = false
        val doneOnce = { result: OriginLookup ->
            if (!isDone) {
                isDone = true
                done(result)
            }
        }
        loop.schedule({ doneOnce(OriginLookup.Unanswered) }, LOOKUP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        listener.findOrigin(stream, service, doneOnce)
    }

    private companion object {
        /** Streams of a minute on a VM that begins several hundred a second. */
        const val MAX_ENTRIES = 20_000

        /** Records within this time are sent together while servers of several versions serve, and else within this. */
        const val URGENT_DELAY_MS = 20L
        const val DELAY_MS = 250L

        /** Several round trips between data centres, and short against the time to a first event. */
        const val LOOKUP_TIMEOUT_MS = 150L
    }
}
