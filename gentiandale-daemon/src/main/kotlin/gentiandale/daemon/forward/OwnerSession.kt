package gentiandale.daemon.forward

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.daemon.request.Answer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch

/**
 * Owner's side of one request that [entry] forwarded to this VM. Answers are kept until they are acknowledged. While
 * [WINDOW_ANSWERS] of them are unacknowledged, collecting further answers is suspended.
 */
internal class OwnerSession(
    private val id: ForwardSessionId,
    val entry: VmId,
    private val clock: Clock,
    private val times: ForwardTimes,
    private val send: (ForwardMessage) -> Unit,
    private val onEnd: () -> Unit,
) {
    private val unacked = ArrayDeque<Answer>()
    private val acks = Channel<Unit>(Channel.CONFLATED)
    private var firstUnacked = 0L
    private var lastReceivedMs = clock.monotonicMs()
    private var lastProgressMs = lastReceivedMs
    private var lastSentMs = lastReceivedMs
    private var complete = false
    private lateinit var answerJob: Job

    /** Collects [answers] and sends them, until all are acknowledged or the lease of [entry] has expired. */
    fun start(scope: CoroutineScope, answers: Flow<Answer>) {
        answerJob = scope.launch { answers.collect { sendAnswer(it) } }
        answerJob.invokeOnCompletion { synchronized(this) { complete = true } }
        scope.launch {
            while (tick()) delay(times.tickMs)
            answerJob.cancel()
            onEnd()
        }
    }

    /** Drops the answers before [next], which [entry] has received, and renews the lease of [entry]. */
    @Synchronized
    fun acknowledge(next: Long) {
        lastReceivedMs = clock.monotonicMs()
        while (firstUnacked < next && unacked.isNotEmpty()) {
            unacked.removeFirst()
            firstUnacked++
            lastProgressMs = lastReceivedMs
        }
        acks.trySend(Unit)
    }

    /** Renews the lease of [entry], from which a message has arrived. */
    @Synchronized
    fun renewLease() {
        lastReceivedMs = clock.monotonicMs()
    }

    /** Stops collecting the answers, which cancels the request here, and drops those not acknowledged. */
    @Synchronized
    fun cancel() {
        answerJob.cancel()
        unacked.clear()
        complete = true
    }

    private suspend fun sendAnswer(answer: Answer) {
        while (isFull()) acks.receive()
        val number = append(answer)
        send(ForwardMessage.Answers(id, number, listOf(answer)))
    }

    @Synchronized
    private fun isFull() = unacked.size >= WINDOW_ANSWERS

    @Synchronized
    private fun append(answer: Answer): Long {
        lastSentMs = clock.monotonicMs()
        if (unacked.isEmpty()) lastProgressMs = lastSentMs
        unacked += answer
        return firstUnacked + unacked.size - 1
    }

    /** Sends answers again or a keep-alive if due, and returns whether the session is still open. */
    @Synchronized
    private fun tick(): Boolean {
        val now = clock.monotonicMs()
        if (complete && unacked.isEmpty()) return false
        if (now - lastReceivedMs > times.leaseMs) return false
        if (unacked.isNotEmpty() && now - lastProgressMs > times.resendMs) {
            lastProgressMs = now
            lastSentMs = now
            send(ForwardMessage.Answers(id, firstUnacked, unacked.toList()))
        } else if (now - lastSentMs > times.keepAliveMs) {
            lastSentMs = now
            send(ForwardMessage.KeepAlive(id))
        }
        return true
    }

    private companion object {
        const val WINDOW_ANSWERS = 64
    }
}
