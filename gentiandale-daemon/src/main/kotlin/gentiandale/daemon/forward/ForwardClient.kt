package gentiandale.daemon.forward

import gentiandale.core.Clock
import gentiandale.core.Incarnation
import gentiandale.core.VmId
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.AnswerAnomaly
import gentiandale.daemon.request.AnswerAnomalyCounters
import gentiandale.daemon.request.Completion
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Thrown when [owner] has not answered within its lease, or no longer knows a request that was forwarded to it. */
internal class OwnerLostException(val owner: VmId) :
    Exception("owner $owner did not answer within its lease, or does not know the request")

/** Forwards requests to the owners of the servers and receives their answers in order. */
internal class ForwardClient(
    private val self: VmId,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val times: ForwardTimes,
    private val counters: AnswerAnomalyCounters,
    private val send: (VmId, ForwardMessage) -> Unit,
) {
    private val inboxes = ConcurrentHashMap<ForwardSessionId, Channel<ForwardMessage>>()
    private val sessionCount = AtomicLong()

    /** Passes a message of an owner to the flow that runs [session]. */
    fun receive(session: ForwardSessionId, message: ForwardMessage) {
        val inbox = inboxes[session]
        if (inbox != null) inbox.trySend(message)
        if (inbox == null && message is ForwardMessage.Answers) counters.add(AnswerAnomaly.LATE)
    }

    /**
     * Returns the answers of [owner] to [completion]. The flow throws [OwnerLostException] if the owner sends nothing
     * within its lease or does not know the session.
     */
    fun forward(owner: VmId, completion: Completion): Flow<Answer> = flow {
        val id = ForwardSessionId("$self/$incarnation/${sessionCount.incrementAndGet()}")
        val inbox = Channel<ForwardMessage>(Channel.UNLIMITED)
        inboxes[id] = inbox
        val session = EntrySession(id, owner)
        try {
            session.open(completion)
            while (!session.ended) {
                val message = inbox.tryReceive().getOrNull() ?: withTimeoutOrNull(times.tickMs) { inbox.receive() }
                session.receive(message).forEach { emit(it) }
                session.sendIfDue(completion)
            }
        } finally {
            inboxes.remove(id)
            session.close()
        }
    }

    /** Entry VM's side of one forwarded request. */
    private inner class EntrySession(private val id: ForwardSessionId, private val owner: VmId) {
        private var next = 0L
        private var acked = 0L
        private var confirmed = false
        private var lastReceivedMs = clock.monotonicMs()
        private var lastSentMs = lastReceivedMs
        var ended = false
            private set

        fun open(completion: Completion) {
            lastSentMs = clock.monotonicMs()
            send(owner, ForwardMessage.Open(id, completion.toForwarded(clock)))
        }

        fun receive(message: ForwardMessage?): List<Answer> {
            val now = clock.monotonicMs()
            when (message) {
                null -> if (now - lastReceivedMs > times.leaseMs) throw OwnerLostException(owner)
                is ForwardMessage.UnknownSession -> throw OwnerLostException(owner)
                else -> {
                    confirmed = true
                    lastReceivedMs = now
                }
            }
            return if (message is ForwardMessage.Answers) newAnswers(message) else emptyList()
        }

        private fun newAnswers(message: ForwardMessage.Answers): List<Answer> {
            val repeated = next - message.first
            if (repeated < 0) counters.add(AnswerAnomaly.OUT_OF_ORDER)
            if (repeated > 0) counters.add(AnswerAnomaly.DOUBLED)
            if (repeated < 0 || repeated >= message.answers.size) return emptyList()
            val answers = message.answers.drop(repeated.toInt())
            next += answers.size
            ended = answers.last() !is Answer.Token
            return answers
        }

        /** Sends [completion] again until the owner confirms it; then sends acknowledgements, which renew the lease. */
        fun sendIfDue(completion: Completion) {
            val now = clock.monotonicMs()
            val ackDue = next - acked >= ACK_INTERVAL_ANSWERS || (next > acked && now - lastSentMs >= times.tickMs)
            when {
                !confirmed -> if (now - lastSentMs >= times.resendMs) open(completion)
                ackDue || now - lastSentMs >= times.keepAliveMs -> acknowledge(now)
            }
        }

        private fun acknowledge(now: Long) {
            acked = next
            lastSentMs = now
            send(owner, ForwardMessage.Ack(id, next))
        }

        fun close() {
            if (ended) acknowledge(clock.monotonicMs()) else send(owner, ForwardMessage.Cancel(id))
        }
    }

    private companion object {
        const val ACK_INTERVAL_ANSWERS = 16
    }
}
