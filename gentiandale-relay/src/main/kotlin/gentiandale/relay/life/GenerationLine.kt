package gentiandale.relay.life

import gentiandale.relay.placement.Waiting
import gentiandale.relay.placement.WaitingOrder
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Generations of this VM that wait for room at the engines. */
internal class GenerationLine(private val loop: EventLoop, private val nowMs: () -> Long) {
    /** A generation in the line. */
    interface Member {
        val waiting: Waiting

        /** Begins if there is room, and returns whether it has left the line. */
        fun tryBegin(): Boolean

        /** Gives up waiting. */
        fun giveBack(reason: String)
    }

    private val order = WaitingOrder()
    private val members = ArrayList<Member>()
    private var isPumping = false
    private var isTimed = false

    /** Generations that wait. */
    val size: Int get() = members.size

    /** Lets [member] begin, or wait, or be given back at once. */
    fun enter(member: Member) {
        if (member in members) return
        if (order.isTooLong(members.size)) return member.giveBack("${members.size} requests wait already")
        members += member
        pump()
    }

    /** Returns whether [waiting] can't be in time any more. */
    fun isLate(waiting: Waiting): Boolean = order.isLate(waiting, nowMs())

    fun leave(member: Member) {
        members -= member
    }

    /** Lets generations begin in their order as long as there is room. */
    fun pump() {
        if (isPumping || members.isEmpty()) return
        isPumping = true
        try {
            pumpOnce(nowMs())
        } finally {
            // Whatever one member fails with, the others go on at the next look.
            isPumping = false
            if (members.isNotEmpty()) startTimer()
        }
    }

    private fun pumpOnce(now: Long) {
        val ordered = members.sortedWith { a, b -> order.comparator(now).compare(a.waiting, b.waiting) }
        val begun = ordered.takeWhile { it !in members || begins(it) }.size
        ordered.drop(begun).filter { it in members && order.willBeAbandoned(it.waiting, now) }.forEach {
            members -= it
            it.giveBack("no room in time")
        }
    }

    /** Takes [member] out of the line while it tries, since it may come back at once. */
    private fun begins(member: Member): Boolean {
        members -= member
        val begun = member.tryBegin()
        if (!begun) members += member
        return begun
    }

    private fun startTimer() {
        if (isTimed) return
        isTimed = true
        loop.schedule(::onTimer, INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    private fun onTimer() {
        isTimed = false
        pump()
    }

    private companion object {
        /** Room that nobody reports, such as the end of a pause after a failure, is found in this time. */
        const val INTERVAL_MS = 40L
    }
}
