package gentiandale.relay.backend

import gentiandale.core.backend.LimitStatement
import gentiandale.relay.placement.LimitReading
import kotlin.random.Random

/**
 * Limits the requests of one VM to a server that has named a limit for all VMs together. Each request needs a permit of
 * the control VM that issues them for all VMs. Permits expire soon, so that unused ones are issued again to a VM that
 * needs them. Without any reply of a control VM the VM uses its own share of the limit. Confined to one thread.
 */
public class RequestLimit(private val random: Random = Random.Default) {
    private var statedMs = Long.MIN_VALUE / 2
    private var stated: Double? = null
    private var lastSentMs = Long.MIN_VALUE / 2
    private val permitEnds = ArrayDeque<Long>()
    private var wanted = 0
    private var lastRequestMs = Long.MIN_VALUE / 2
    private var unansweredSinceMs: Long? = null
    private var isRequestPending = false
    private var ownShare: OwnShare? = null

    /** Permits that this VM grants itself, at [perMs] a millisecond. */
    private class OwnShare(var tokens: Double, var refilledMs: Long, val perMs: Double) {
        fun refill(nowMs: Long) {
            tokens = (tokens + (nowMs - refilledMs) * perMs).coerceAtMost(1.0)
            refilledMs = nowMs
        }
    }

    /** Returns the limit at [nowMs] in requests a second for all VMs together, or null if there is none. */
    public fun perSecond(nowMs: Long): Double? =
        stated?.takeIf { nowMs - statedMs < LimitStatement.RETENTION_MS }

    /** Returns whether a request may be sent at [nowMs]. */
    public fun admits(nowMs: Long): Boolean = perSecond(nowMs) == null || available(nowMs) > 0

    /** Returns the number of permits that are valid at [nowMs]. */
    public fun available(nowMs: Long): Int {
        while (permitEnds.isNotEmpty() && permitEnds.first() <= nowMs) permitEnds.removeFirst()
        val own = ownShare?.also { it.refill(nowMs) }?.tokens ?: 0.0
        return permitEnds.size + own.toInt()
    }

    /** Uses a permit at [nowMs], unless the server takes any number of requests; returns false if there is none. */
    public fun take(nowMs: Long): Boolean {
        if (perSecond(nowMs) == null) return true
        if (available(nowMs) == 0) return false
        if (permitEnds.removeFirstOrNull() == null) ownShare?.let { it.tokens -= 1 }
        return true
    }

    /** Returns a permit that was taken and not used, at [nowMs]. */
    public fun giveBack(nowMs: Long) {
        if (perSecond(nowMs) != null) permitEnds.addFirst(nowMs + RETURNED_VALIDITY_MS)
    }

    /**
     * Records that a request is sent at [nowMs]. Returns the time for [onAnswer], which is later than that of every
     * statement read before, and not later than that of one read after, also within one millisecond.
     */
    public fun onSent(nowMs: Long): Long = maxOf(nowMs, statedMs + 1).also { lastSentMs = it }

    /**
     * Records what an answer says to a request that was sent at [sentMs], as returned by [onSent]. Returns whether that
     * differs from what was known. An answer without a limit ends one only if its request was sent after the limit was
     * last named.
     */
    public fun onAnswer(reading: LimitReading, sentMs: Long, nowMs: Long): Boolean {
        val atMs = maxOf(nowMs, lastSentMs)
        return when (reading) {
            is LimitReading.Invalid -> false
            is LimitReading.Named -> state(reading.perSecond, atMs)
            is LimitReading.None -> stated != null && sentMs > statedMs && state(null, atMs)
        }
    }

    /** Records that the server named the limit [perSecond], or none, at [atMs]; returns whether that is a change. */
    public fun state(perSecond: Double?, atMs: Long): Boolean {
        if (atMs < statedMs) return false
        val isChanged = perSecond != stated
        statedMs = atMs
        stated = perSecond
        if (perSecond == null) {
            permitEnds.clear()
            ownShare = null
        }
        return isChanged
    }

    /**
     * Records at [nowMs] that a request could not be sent for lack of a permit. Returns the number of permits to ask a
     * control VM for, or 0 if the last question is still open.
     *
     * @param entryVms number of VMs that share the limit.
     */
    public fun onMissing(nowMs: Long, entryVms: Int): Int {
        wanted = (wanted + 1).coerceAtMost(MAX_WANTED)
        if (isRequestPending && nowMs - lastRequestMs < REQUEST_INTERVAL_MS) return 0
        val sinceMs = unansweredSinceMs ?: nowMs.also { unansweredSinceMs = it }
        if (nowMs - sinceMs > ISSUER_TIMEOUT_MS) useOwnShare(nowMs, entryVms)
        lastRequestMs = nowMs
        isRequestPending = true
        return wanted.also { wanted = 0 }
    }

    private fun useOwnShare(nowMs: Long, entryVms: Int) {
        val perMs = (perSecond(nowMs) ?: return) / MS_PER_S / entryVms.coerceAtLeast(1)
        val present = ownShare
        // A random start keeps the VMs from using their first permits at the same time.
        if (present == null) ownShare = OwnShare(random.nextDouble(), nowMs, perMs)
    }

    /** Adds [count] permits of a control VM, which are valid for [validMs] milliseconds from [nowMs]; 0 is a denial. */
    public fun grant(count: Int, validMs: Long, nowMs: Long) {
        unansweredSinceMs = null
        ownShare = null
        if (perSecond(nowMs) == null || nowMs - lastRequestMs > MAX_REPLY_MS) return
        if (count > 0) isRequestPending = false
        repeat(count) { permitEnds.addLast(nowMs + validMs) }
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Permits asked for at once; more could not be used before they expire. */
        const val MAX_WANTED = 16

        /** A question without permits in reply is asked again after this time, while requests need them. */
        const val REQUEST_INTERVAL_MS = 200L

        /** Permits that arrive later come from a VM that was frozen or cut off, and may have been issued again. */
        const val MAX_REPLY_MS = 800L

        /** Several lost messages; a control VM that has failed is replaced by another one after two seconds. */
        const val ISSUER_TIMEOUT_MS = 1_000L

        /** A permit that was taken for a request that is not sent is used by the next one or lost. */
        const val RETURNED_VALIDITY_MS = 200L
    }
}
