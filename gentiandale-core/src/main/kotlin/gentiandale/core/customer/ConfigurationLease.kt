package gentiandale.core.customer

import gentiandale.core.Clock
import kotlin.random.Random

/**
 * Right of an entry VM to serve requests under its configuration, so that a key that was revoked is of no use
 * [revokeMs] milliseconds after the acknowledgement, even on a VM that learns nothing of it. The leader of the
 * replicated store proves with the answer to a subscription that the stated version was the accepted one when a
 * majority last confirmed it. Not thread-safe.
 *
 * @param random source of the first number, by which answers to an earlier process of this VM are told apart.
 */
public class ConfigurationLease(
    private val revokeMs: Long,
    private val clock: Clock,
    random: Random = Random.Default,
) {
    private class Subscription(val number: Long, val monotonicMs: Long, val wallMs: Long)

    private class Proof(val version: Long, val subscription: Subscription, val ageMs: Long)

    private val validMs = (revokeMs * VALID_SHARE).toLong()
    private val subscriptions = ArrayDeque<Subscription>()
    private val proofs = ArrayList<Proof>()
    private var lastNumber = random.nextLong(1, MAX_FIRST_NUMBER)

    /** Returns the number of a subscription that is about to be sent. */
    public fun onSubscribe(): Long {
        prune()
        if (subscriptions.size >= MAX_SUBSCRIPTIONS) subscriptions.removeFirst()
        lastNumber++
        subscriptions += Subscription(lastNumber, clock.monotonicMs(), clock.wallMs())
        return lastNumber
    }

    /**
     * Records the leader's answer to the subscription [number]: [version] was the accepted one [ageMs] milliseconds
     * before it answered. Answers may come late, twice or out of order.
     */
    public fun onProof(number: Long, version: Long, ageMs: Long) {
        val subscription = subscriptions.find { it.number == number } ?: return
        val proof = Proof(version, subscription, ageMs.coerceAtLeast(0))
        proofs.removeAll { it.version >= version && leftMs(it) <= leftMs(proof) }
        proofs += proof
        prune()
    }

    /** Returns the milliseconds for which the table of [version] may be used; 0 if it must not be used. */
    public fun leftMs(version: Long): Long {
        prune()
        return proofs.filter { it.version <= version }.maxOfOrNull(::leftMs) ?: 0
    }

    /** Returns whether the table of [version] may be used. */
    public fun isValid(version: Long): Boolean = leftMs(version) > 0

    /** What has expired once stays so, also if the wall clock is set back later. */
    private fun prune() {
        subscriptions.removeAll { sinceMs(it) >= validMs }
        proofs.removeAll { leftMs(it) <= 0 }
    }

    private fun leftMs(proof: Proof) = validMs - proof.ageMs - sinceMs(proof.subscription)

    /** The monotonic clock stops while the machine is suspended, and the wall clock may be set back. */
    private fun sinceMs(subscription: Subscription) =
        maxOf(clock.monotonicMs() - subscription.monotonicMs, clock.wallMs() - subscription.wallMs)

    private companion object {
        /** The rest covers clocks that run at different rates, and the time between a check and the send. */
        const val VALID_SHARE = 0.8

        /** Several times those within the lease; more are sent only in the burst after the process was stopped. */
        const val MAX_SUBSCRIPTIONS = 64

        /** The number takes five bytes in a message. */
        const val MAX_FIRST_NUMBER = 1L shl 30
    }
}
