package gentiandale.fleet

/**
 * Order in which waiting requests of a service get capacity: those that can still meet their target first, by urgency,
 * by the work granted to their customer, and by age. One of every four grants goes to the late request with the nearest
 * deadline. Answers the load in which more requests arrive for seconds than the servers complete: in the order of their
 * arrival all of them would be late, and without the fourth grant late ones would be answered after callers have left.
 */
internal class CapacityOrder(private val shares: FairShare) {
    private var grants = 0L

    /** Returns the order at [nowMs], without the fourth grants. */
    fun comparator(nowMs: Long): Comparator<WaitingRequest> {
        val works = HashMap<ShareKey, Double>()
        return compareBy<WaitingRequest> { if (it.isLate(nowMs)) 1 else 0 }.thenBy { it.request.urgency }
            .thenBy { works.getOrPut(it.share) { shares.work(it.share, nowMs) } }.thenBy { it.startMs }
    }

    /**
     * Returns the request among [waiting] that gets capacity next, or null. A request that doesn't [fit] is passed by
     * [MAX_PASSED] smaller ones at most, after which capacity is kept for it.
     */
    fun next(waiting: Collection<WaitingRequest>, nowMs: Long, fits: (WaitingRequest) -> Boolean): WaitingRequest? {
        if (waiting.isEmpty()) return null
        val order = comparator(nowMs)
        val urgent = nearestDeadline(waiting, nowMs)
        val first = urgent ?: waiting.minWith(order)
        if (fits(first)) return first
        val sequence = listOfNotNull(urgent) + waiting.sortedWith(order)
        val last = sequence.indexOfFirst { it.passed >= MAX_PASSED || fits(it) }
        val found = sequence.getOrNull(last)?.takeIf(fits) ?: return null
        sequence.take(last).forEach { it.passed++ }
        return found
    }

    /** Returns the late request with the nearest deadline if the next grant is a fourth one. */
    private fun nearestDeadline(waiting: Collection<WaitingRequest>, nowMs: Long): WaitingRequest? {
        if (grants % LATE_INTERVAL != LATE_INTERVAL - 1) return null
        return waiting.filter { it.isLate(nowMs) }.minByOrNull { it.deadlineMs }
    }

    /** Returns how many grants are made before [request] gets one, if no other request arrives. */
    fun ahead(request: WaitingRequest, waiting: Collection<WaitingRequest>, nowMs: Long): Long {
        val order = comparator(nowMs)
        val inOrder = waiting.count { it !== request && order.compare(it, request) < 0 }.toLong()
        if (!request.isLate(nowMs)) return inOrder
        val byDeadline = waiting.count { it.isLate(nowMs) && it.deadlineMs < request.deadlineMs }
        return minOf(inOrder, byDeadline * LATE_INTERVAL)
    }

    /** Records a grant to [request]. */
    fun onGranted(request: WaitingRequest, nowMs: Long) {
        grants++
        shares.add(request.share, request.work, nowMs)
    }

    private companion object {
        /** One of this many grants goes to a late request. */
        const val LATE_INTERVAL = 4L

        /** Keeps memory in use while a large generation waits, and bounds its wait. */
        const val MAX_PASSED = 8
    }
}
