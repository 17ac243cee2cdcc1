package gentiandale.route

import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerLoad

/** Accounts for the places, memory blocks and link time of a decode server that are reserved for requests. */
internal class DecodeLedger(var facts: ServerFacts) {
    private class Reservation(val blocks: Int, val betweenTokensMs: Long, val sinceMs: Long) {
        var transferEndMs = Double.NEGATIVE_INFINITY
        var latestEndMs = Long.MAX_VALUE
        var missedReports = 0
    }

    private val reservations = LinkedHashMap<RequestId, Reservation>()
    private val recentlyEnded = LinkedHashMap<RequestId, Long>()
    private var reservedBlocks = 0
    private var missingCount = 0
    private var untrackedPlaces = 0
    private var untrackedBlocks = 0
    private var strictestTargetMs = Long.MAX_VALUE
    private var lastReportMs = 0L

    /** Learned model of the time between two tokens. */
    val tokenTime = TokenTimeModel()

    /** Index of the server's data centre within its pool. */
    var dataCentre: Int = 0

    /** Back-off after failures of this server. */
    val cooldown = Cooldown()

    /** Expected end of all pending transfers to this server, in monotonic milliseconds. */
    var linkFreeMs = Double.NEGATIVE_INFINITY
        private set

    /** Requests with a reservation. */
    val requests: Set<RequestId> get() = reservations.keys

    /** Places in use, including those of requests without a reservation in this ledger. */
    val used: Int get() = reservations.size - missingCount + untrackedPlaces

    /** Returns the number of places free for a request whose target between tokens is [betweenTokensMs]. */
    fun freePlaces(betweenTokensMs: Long): Int {
        val limit = tokenTime.batchWithin(minOf(betweenTokensMs, strictestTargetMs), facts.places)
        return limit - used
    }

    /** Returns whether [blocks] more memory blocks are free. */
    fun fits(blocks: Int): Boolean =
        facts.memoryBlocks == 0 || reservedBlocks + untrackedBlocks + blocks <= facts.memoryBlocks

    /** Returns the number of places that are free by [byMs] at the latest, since the length of answers is bounded. */
    fun placesFreeBy(byMs: Long): Int = reservations.values.count { it.latestEndMs <= byMs }

    /** Reserves a place and memory for [track], and the link for a transfer expected to end at [transferEndMs]. */
    fun add(track: TrackedRequest, transferEndMs: Double, nowMs: Long) {
        val reservation = Reservation(track.blocks(facts.blockTokens), track.rank.betweenTokensMs, nowMs)
        reservation.transferEndMs = transferEndMs
        reservations[track.request.request] = reservation
        reservedBlocks += reservation.blocks
        linkFreeMs = maxOf(linkFreeMs, transferEndMs)
        strictestTargetMs = minOf(strictestTargetMs, reservation.betweenTokensMs)
    }

    /** Releases the link after the KV cache of [request] has arrived. Its answer ends by [latestEndMs]. */
    fun onTransferred(request: RequestId, latestEndMs: Long) {
        val reservation = reservations[request] ?: return
        reservation.latestEndMs = latestEndMs
        releaseLink(reservation)
    }

    /** Releases the reservation of [request]. If the engine has [ended] it, older reports that list it are ignored. */
    fun remove(request: RequestId, ended: Boolean, nowMs: Long) {
        val reservation = reservations.remove(request) ?: return
        reservedBlocks -= reservation.blocks
        releaseLink(reservation)
        if (reservation.missedReports >= MISSED_REPORTS_LIMIT) missingCount--
        if (reservation.betweenTokensMs == strictestTargetMs) {
            strictestTargetMs = reservations.values.minOfOrNull { it.betweenTokensMs } ?: Long.MAX_VALUE
        }
        if (ended) recentlyEnded[request] = nowMs
    }

    /**
     * Reconciles the ledger with a report that may lag. Reported requests without a reservation count as using a place.
     * A reservation stops counting only if its request has a first token, it is older than any report, and several
     * reports in a row lack it.
     */
    fun reconcile(load: ServerLoad, nowMs: Long) {
        recentlyEnded.values.removeIf { nowMs - it > MAX_REPORT_AGE_MS }
        val named = load.requests.toHashSet()
        val unnamed = (load.running - named.size).coerceAtLeast(0)
        val untracked = named.count { it !in reservations && it !in recentlyEnded }
        val knownRequests = if (named.isEmpty()) reservations.size + recentlyEnded.size else 0
        untrackedPlaces = untracked + (unnamed - knownRequests).coerceAtLeast(0)
        untrackedBlocks = if (untrackedPlaces == 0) 0 else (load.usedBlocks - reservedBlocks).coerceAtLeast(0)
        val isNewReport = nowMs - lastReportMs >= MIN_REPORT_INTERVAL_MS
        if (isNewReport) lastReportMs = nowMs
        if (isNewReport && named.size == load.running) countMissing(named, nowMs)
    }

    /** Returns whether the cached sums agree with the reservations. */
    fun isConsistent(): Boolean {
        return reservedBlocks == reservations.values.sumOf { it.blocks } &&
            missingCount == reservations.values.count { it.missedReports >= MISSED_REPORTS_LIMIT } &&
            linkFreeMs == latestTransferMs()
    }

    private fun releaseLink(reservation: Reservation) {
        val wasLatest = reservation.transferEndMs == linkFreeMs
        reservation.transferEndMs = Double.NEGATIVE_INFINITY
        if (wasLatest) linkFreeMs = latestTransferMs()
    }

    private fun latestTransferMs() = reservations.values.maxOfOrNull { it.transferEndMs } ?: Double.NEGATIVE_INFINITY

    private fun countMissing(named: Set<RequestId>, nowMs: Long) {
        for ((request, reservation) in reservations) {
            val isSettled = reservation.latestEndMs != Long.MAX_VALUE && nowMs - reservation.sinceMs > MAX_REPORT_AGE_MS
            reservation.missedReports = if (isSettled && request !in named) reservation.missedReports + 1 else 0
        }
        missingCount = reservations.values.count { it.missedReports >= MISSED_REPORTS_LIMIT }
    }

    private companion object {
        const val MAX_REPORT_AGE_MS = 3_000L
        const val MISSED_REPORTS_LIMIT = 2
        const val MIN_REPORT_INTERVAL_MS = 200L
    }
}
