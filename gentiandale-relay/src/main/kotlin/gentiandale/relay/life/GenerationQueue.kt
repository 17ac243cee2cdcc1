package gentiandale.relay.life

import gentiandale.relay.placement.QueuedGeneration
import gentiandale.relay.placement.AdmissionOrder
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Generations of this VM that wait for room at the engines. */
internal class GenerationQueue(private val loop: EventLoop, private val nowMs: () -> Long) {
    /** A generation in the line. */
    interface Entry {
        val queuedGeneration: QueuedGeneration

        /** Begins if there is room, and returns whether it has left the line. */
        fun tryStart(): Boolean

        /** Gives up waiting. */
        fun reject(reason: String)
    }

    private val order = AdmissionOrder()
    private val entries = ArrayList<Entry>()
    private var isAdmitting = false
    private var isTimerSet = false

    /** Generations that wait. */
    val size: Int get() = entries.size

    /** Lets [entry] begin, or wait, or be given back at once. */
    fun enqueue(entry: Entry) {
        if (entry in entries) return
        if (order.isFull(entries.size)) return entry.reject("${entries.size} requests wait already")
        entries += entry
        admit()
    }

    /** Returns whether [queuedGeneration] can't be in time any more. */
    fun isLate(queuedGeneration: QueuedGeneration): Boolean = order.isLate(queuedGeneration, nowMs())

    fun remove(entry: Entry) {
        entries -= entry
    }

    /** Lets generations begin in their order as long as there is room. */
    fun admit() {
        if (isAdmitting || entries.isEmpty()) return
        isAdmitting = true
        try {
            admitOnce(nowMs())
        } finally {
            // Whatever one member fails with, the others go on at the next look.
            isAdmitting = false
            if (entries.isNotEmpty()) startTimer()
        }
    }

    private fun admitOnce(now: Long) {
        val ordered = entries.sortedWith { a, b -> order.comparator(now).compare(a.queuedGeneration, b.queuedGeneration) }
        val admitted = ordered.takeWhile { it !in entries || tryAdmit(it) }.size
        ordered.drop(admitted).filter { it in entries && order.willBeAbandoned(it.queuedGeneration, now) }.forEach {
            entries -= it
            it.reject("no room in time")
        }
    }

    /** Takes [entry] out of the line while it tries, since it may come back at once. */
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
        /** Room that nobody reports, such as the end of a pause after a failure, is found in this time. */
        const val RECHECK_INTERVAL_MS = 40L
    }
}
