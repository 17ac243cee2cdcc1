package gentiandale.relay.request

import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.OriginRecords
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.StreamId
import gentiandale.relay.RelayListener
import gentiandale.relay.StreamStarts
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
    private val records = OriginRecords(MAX_ENTRIES)
    private val unreported = LinkedHashMap<StreamStarts, ArrayList<StreamId>>()
    private var isUrgentScheduled = false
    private var isScheduled = false

    /**
     * Records that [stream] has begun as [begun] tells.
     *
     * @param isUrgent whether servers of several versions serve, so that nobody could infer the origin.
     */
    fun onEvent(stream: StreamId, begun: StreamStarts, isUrgent: Boolean) {
        records.record(stream, begun.origin, begun.process, nowMs(), begun.keepMs)
        // Without the process, streams of all servers share a report.
        val reported = if (isUrgent) begun else begun.copy(process = null)
        unreported.getOrPut(reported) { ArrayList() } += stream
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
        batches.forEach { (begun, streams) -> listener.onStreamsBegun(begun, streams) }
    }

    /** Learns that [row] has changed. */
    fun onRow(row: BackendRow) = records.onRow(row, nowMs())

    /** Returns what this VM knows about the origin of [stream], or null. */
    fun findOwn(stream: StreamId): OriginLookup? = records.find(stream, nowMs(), source = "own record")

    /** Calls [done] with what this VM or the control VMs know about the origin of [stream], if it is known by id. */
    fun find(stream: StreamId?, service: ServiceName, done: (OriginLookup) -> Unit) {
        val own = stream?.let(::findOwn)
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
