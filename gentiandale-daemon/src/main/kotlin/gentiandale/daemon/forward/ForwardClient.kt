package gentiandale.daemon.forward

import gentiandale.core.Clock
import gentiandale.core.Incarnation
import gentiandale.core.VmId
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.AnswerAnomaly
import gentiandale.daemon.request.AnswerAnomalyCounters
import gentiandale.daemon.request.Work
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The owner of a forwarded request has not been heard of within its lease. */
internal class OwnerLost(val owner: VmId) : Exception("$owner is lost")

/** Forwards requests to the VMs that decide over the servers, and takes the answers back in order. */
internal class ForwardClient(
    private val self: VmId,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val times: ForwardTimes,
    private val counters: AnswerAnomalyCounters,
    private val send: (VmId, ForwardMessage) -> Unit,
) {
    private val inboxes = ConcurrentHashMap<LegId, Channel<ForwardMessage>>()
    private val numbers = AtomicLong()

    /** Takes a message of an owner. */
    fun take(leg: LegId, message: ForwardMessage) {
        val inbox = inboxes[leg]
        if (inbox != null) inbox.trySend(message)
        if (inbox == null && message is ForwardMessage.Answers) counters.add(AnswerAnomaly.LATE)
    }

    /** Has [owner] run [work]. The flow throws [OwnerLost] when the owner is silent for too long. */
    fun forward(owner: VmId, work: Work): Flow<Answer> = flow {
        val leg = LegId("$self/$incarnation/${numbers.incrementAndGet()}")
        val inbox = Channel<ForwardMessage>(Channel.UNLIMITED)
        inboxes[leg] = inbox
        val state = EntryLeg(leg, owner)
        try {
            state.open(work)
            while (!state.ended) {
                val message = inbox.tryReceive().getOrNull() ?: withTimeoutOrNull(times.tickMs) { inbox.receive() }
                state.take(message).forEach { emit(it) }
                state.keepAlive(work)
            }
        } finally {
            inboxes.remove(leg)
            state.close()
        }
    }

    /** The caller's side of one leg. */
    private inner class EntryLeg(private val leg: LegId, private val owner: VmId) {
        private var next = 0L
        private var acked = 0L
        private var opened = false
        private var heardMs = clock.monotonicMs()
        private var sentMs = heardMs
        var ended = false
            private set

        fun open(work: Work) {
            sentMs = clock.monotonicMs()
            send(owner, ForwardMessage.Open(leg, work.toForwarded(clock)))
        }

        fun take(message: ForwardMessage?): List<Answer> {
            val now = clock.monotonicMs()
            when (message) {
                null -> if (now - heardMs > times.leaseMs) throw OwnerLost(owner)
                is ForwardMessage.Gone -> throw OwnerLost(owner)
                else -> {
                    opened = true
                    heardMs = now
                }
            }
            return if (message is ForwardMessage.Answers) inOrder(message) else emptyList()
        }

        private fun inOrder(message: ForwardMessage.Answers): List<Answer> {
            val known = next - message.first
            if (known < 0) counters.add(AnswerAnomaly.OUT_OF_ORDER)
            if (known > 0) counters.add(AnswerAnomaly.DOUBLED)
            if (known < 0 || known >= message.answers.size) return emptyList()
            val fresh = message.answers.drop(known.toInt())
            next += fresh.size
            ended = fresh.last() !is Answer.Token
            return fresh
        }

        fun keepAlive(work: Work) {
            val now = clock.monotonicMs()
            val ackDue = next - acked >= ACK_EVERY || (next > acked && now - sentMs >= times.tickMs)
            when {
                !opened -> if (now - sentMs >= times.resendMs) open(work)
                ackDue || now - sentMs >= times.keepAliveMs -> acknowledge(now)
            }
        }

        private fun acknowledge(now: Long) {
            acked = next
            sentMs = now
            send(owner, ForwardMessage.Ack(leg, next))
        }

        fun close() {
            if (ended) acknowledge(clock.monotonicMs()) else send(owner, ForwardMessage.Cancel(leg))
        }
    }

    private companion object {
        const val ACK_EVERY = 16
    }
}
