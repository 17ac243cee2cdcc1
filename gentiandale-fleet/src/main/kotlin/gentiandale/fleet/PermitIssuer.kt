package gentiandale.fleet

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.LimitStatement

/**
 * Permits issued for [count] requests to the [incarnation] of [server].
 *
 * @param route the entry VM that gets them, and the control VMs that have passed its request on.
 */
internal data class IssuedPermits(
    val route: List<VmId>,
    val server: ServerId,
    val incarnation: Incarnation,
    val count: Int,
) {
    /** Entry VM that gets them. */
    val vm: VmId get() = route.first()
}

/**
 * Issues the permits for requests to servers that have named a limit, at the rate of that limit for all entry VMs
 * together. VMs that ask while there are none get them in turn, so that with fewer permits than VMs each of them has
 * its share over time. Answers the load under which a server asks for fewer requests than it gets.
 */
internal class PermitIssuer {
    private class Request(val route: List<VmId>, val wanted: Int, val askedMs: Long)

    private class Bucket(val incarnation: Incarnation, var refilledMs: Long) {
        var perSecond = 0.0

        /** A new issuer starts with one permit, as others issued by its predecessor may still be valid. */
        var tokens = 1.0
        val requests = LinkedHashMap<VmId, Request>()

        fun refill(nowMs: Long) {
            val limit = maxOf(1.0, perSecond * BURST_MS / MS_PER_S)
            tokens = (tokens + perSecond * (nowMs - refilledMs) / MS_PER_S).coerceAtMost(limit)
            refilledMs = nowMs
        }
    }

    private val buckets = HashMap<ServerId, Bucket>()

    /**
     * Records at [nowMs] that an entry VM, the first of [route], wants [wanted] permits under [limit]. A later request
     * of it replaces this one.
     */
    fun request(route: List<VmId>, limit: LimitStatement, wanted: Int, nowMs: Long) {
        val perSecond = limit.perSecond ?: return
        val known = buckets[limit.server]
        if (known != null && known.incarnation > limit.incarnation) return
        val bucket = known?.takeIf { it.incarnation == limit.incarnation }
            ?: Bucket(limit.incarnation, nowMs).also { buckets[limit.server] = it }
        bucket.refill(nowMs)
        bucket.perSecond = perSecond.coerceAtLeast(MIN_PER_SECOND)
        bucket.requests[route.first()] = Request(route, wanted.coerceIn(1, MAX_WANTED), nowMs)
    }

    /** Returns the permits that are due at [nowMs]. */
    fun issue(nowMs: Long): List<IssuedPermits> {
        buckets.values.removeIf { nowMs - it.refilledMs > LimitStatement.RETENTION_MS }
        return buckets.flatMap { (server, bucket) -> issue(server, bucket, nowMs) }
    }

    private fun issue(server: ServerId, bucket: Bucket, nowMs: Long): List<IssuedPermits> {
        bucket.requests.values.removeIf { nowMs - it.askedMs > REQUEST_VALIDITY_MS }
        if (bucket.requests.isEmpty()) return emptyList()
        bucket.refill(nowMs)
        val issued = ArrayList<IssuedPermits>()
        while (bucket.tokens >= 1 && bucket.requests.isNotEmpty()) {
            val (vm, request) = bucket.requests.entries.first()
            val share = (bucket.tokens / bucket.requests.size).toInt().coerceAtLeast(1)
            val count = minOf(share, request.wanted)
            bucket.requests -= vm
            bucket.tokens -= count
            issued += IssuedPermits(request.route, server, bucket.incarnation, count)
        }
        return issued
    }

    /** Limits of permits. */
    companion object {
        /** Time in milliseconds for which a VM may use a permit; after that, its request waits no more. */
        const val VALIDITY_MS = 400L

        /** An entry VM repeats its request within this time while it needs permits. */
        private const val REQUEST_VALIDITY_MS = 400L

        /** Unused permits are kept for this time, so that a pause in the requests is not followed by a burst. */
        private const val BURST_MS = 250.0

        /** Lowest rate in requests a second; only an answer can show that a limit of zero has ended. */
        private const val MIN_PER_SECOND = 0.25
        private const val MAX_WANTED = 64
        private const val MS_PER_S = 1_000.0
    }
}
