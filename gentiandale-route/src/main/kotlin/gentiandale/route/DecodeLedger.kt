package gentiandale.route

import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerLoad

/** Counts the places, memory blocks and link bytes of a decode server that requests hold. */
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

    /** Learned time between tokens. */
    val tokenTime = TokenTimeModel()

    /** Number of the data centre of the server within its pool. */
    var dataCentre: Int = 0

    /** Failures of this server and the pause after them. */
    val cooldown = Cooldown()

    /** Time at which the transfers to this server that are still to come should be over, in milliseconds. */
    var linkFreeMs = Double.NEGATIVE_INFINITY
        private set

    /** Requests that hold a place. */
    val requests: Set<RequestId> get() = reservations.keys

    /** Places in use, also by requests that this ledger does not know. */
    val used: Int get() = reservations.size - missingCount + untrackedPlaces

    /** Returns the places that a request with [betweenTokensMs] as its target could take. */
    fun freePlaces(betweenTokensMs: Long): Int {
        val limit = tokenTime.batchWithin(minOf(betweenTokensMs, strictestTargetMs), facts.places)
        return limit - used
    }

    /** Returns whether [blocks] more blocks of memory are free. */
    fun fits(blocks: Int): Boolean =
        facts.memoryBlocks == 0 || reservedBlocks + untrackedBlocks + blocks <= facts.memoryBlocks

    /** Returns the places that surely free by [byMs], since their answers are bounded in length. */
    fun placesFreeBy(byMs: Long): Int = reservations.values.count { it.latestEndMs <= byMs }

    /** Holds a place and memory for [track], and its link for a transfer that should end at [transferEndMs]. */
    fun add(track: TrackedRequest, transferEndMs: Double, nowMs: Long) {
        val reservation = Reservation(track.blocks(facts.blockTokens), track.rank.betweenTokensMs, nowMs)
        reservation.transferEndMs = transferEndMs
        reservations[track.request.request] = reservation
        reservedBlocks += reservation.blocks
        linkFreeMs = maxOf(linkFreeMs, transferEndMs)
        strictestTargetMs = minOf(strictestTargetMs, reservation.betweenTokensMs)
    }

    /** Notes that the KV cache of [request] has arrived and that its answer surely ends by [latestEndMs]. */
    fun onTransferred(request: RequestId, latestEndMs: Long) {
        val reservation = reservations[request] ?: return
        reservation.latestEndMs = latestEndMs
        releaseLink(reservation)
    }

    /** Gives back what [request] holds. If the engine has [ended] it by itself, older reports are not believed. */
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
     * Corrects the ledger by a report that lags. Requests that the ledger does not know count as held. A hold counts
     * as gone only if it is older than a report can be and is missing from several reports in a row.
     */
    fun reconcile(load: ServerLoad, nowMs: Long) {
        recentlyEnded.values.removeIf { nowMs - it > MAX_REPORT_AGE_MS }
        val named = load.requests.toHashSet()
        val unnamed = (load.running - named.size).coerceAtLeast(0)
        val untracked = named.count { it !in reservations && it !in recentlyEnded }
        val ownRequests = if (named.isEmpty()) reservations.size + recentlyEnded.size else 0
        untrackedPlaces = untracked + (unnamed - ownRequests).coerceAtLeast(0)
        untrackedBlocks = if (untrackedPlaces == 0) 0 else (load.usedBlocks - reservedBlocks).coerceAtLeast(0)
        val isNewReport = nowMs - lastReportMs >= MIN_REPORT_INTERVAL_MS
        if (isNewReport) lastReportMs = nowMs
        if (isNewReport && named.size == load.running) countMissing(named, nowMs)
    }

    /** Returns whether the sums agree with the holds. */
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
