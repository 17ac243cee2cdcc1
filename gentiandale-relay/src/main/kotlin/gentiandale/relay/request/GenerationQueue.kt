package gentiandale.relay.request

import gentiandale.relay.placement.AdmissionOrder
import gentiandale.relay.placement.QueuedGeneration
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Queue of the generations of this VM that wait for engine capacity. */
internal class GenerationQueue(private val loop: EventLoop, private val nowMs: () -> Long) {
    /** A queued generation. */
    interface Entry {
        val queued: QueuedGeneration

        /** Starts if there is capacity, and returns whether the entry is done with the queue. */
        fun tryStart(): Boolean

        /** Ends the request, which leaves the queue, and returns true, if it must be kept away from engines. */
        fun endIfQuarantined(): Boolean

        /** Ends the wait because of [reason]. */
        fun reject(reason: String)
    }

    private val order = AdmissionOrder()
    private val entries = ArrayList<Entry>()
    private var isAdmitting = false
    private var isTimerSet = false

    /** Number of queued generations. */
    val size: Int get() = entries.size

    /** Starts [entry] if there is capacity, queues it otherwise, or rejects it if the queue is full. */
    fun enqueue(entry: Entry) {
        if (entry in entries) return
        if (order.isFull(entries.size)) return entry.reject("queue full: ${entries.size} generations waiting")
        entries += entry
        admit()
    }

    /** Returns whether [queued] can no longer meet its target. */
    fun isLate(queued: QueuedGeneration): Boolean = order.isLate(queued, nowMs())

    /** Ends the queued generations that must be kept away from engines by now. */
    fun endQuarantined() {
        entries.toList().forEach { it.endIfQuarantined() }
    }

    fun remove(entry: Entry) {
        entries -= entry
    }

    /** Starts queued generations in their order as long as there is capacity. */
    fun admit() {
        if (isAdmitting || entries.isEmpty()) return
        isAdmitting = true
        try {
            admitOnce(nowMs())
        } finally {
            // If one entry throws, the others are checked again when the timer fires.
            isAdmitting = false
            if (entries.isNotEmpty()) startTimer()
        }
    }

    private fun admitOnce(now: Long) {
        val ordered = entries.sortedWith { a, b -> order.comparator(now).compare(a.queued, b.queued) }
        val admitted = ordered.takeWhile { it !in entries || tryAdmit(it) }.size
        ordered.drop(admitted).filter { it in entries && order.willBeAbandoned(it.queued, now) }.forEach {
            entries -= it
            it.reject("no engine capacity within ${now - it.queued.startMs} ms")
        }
    }

    /** Tries to start [entry] outside the queue, since it may enqueue itself again at once. */
    private fun tryAdmit(entry: Entry): Boolean {
        entries -= entry
        val admitted = entry.tryStart()
        if (!admitted) entries += entry
        return admitted
    }

    private fun startTimer() {
        if (isTimerSet) return
        isTimerSet = true
        loop.schedule(::onTimer, RECHECK_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    private fun onTimer() {
        isTimerSet = false
        admit()
    }

    private companion object {
        /** Bounds the delay until capacity without an event is found, such as the end of a pause after a failure. */
        const val RECHECK_INTERVAL_MS = 40L
    }
}
