package gentiandale.route

import gentiandale.core.AdapterId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import kotlin.math.roundToLong

/** Pair of servers chosen for a request, with the expected times. */
internal class PairChoice(
    val prefill: PrefillLedger,
    val decode: DecodeLedger,
    val prefillTokens: Double,
    val transferEndMs: Double,
    val firstTokenMs: Double,
    val passedOver: List<PassedOver>,
)

/**
 * Chooses a prefill and a decode server together: the pair with the earliest expected first token among the best
 * servers of each data centre. Only decode servers with a free place and enough free memory are candidates.
 */
internal class PairChooser(private val pool: ModelPool, private val settings: PolicySettings) {
    private interface Option {
        val delayMs: Double
    }

    private class PrefillOption(val server: PrefillLedger, val tokens: Double, override val delayMs: Double) : Option

    private class DecodeOption(val server: DecodeLedger, override val delayMs: Double) : Option

    /** Keeps the option with the least delay in each data centre. */
    private class BestOptions<T : Option>(dataCentres: Int) {
        private val best = arrayOfNulls<Option>(dataCentres)

        @Suppress("UNCHECKED_CAST")
        val all: List<T> get() = best.filterNotNull() as List<T>

        fun isBetter(dataCentre: Int, delayMs: Double): Boolean {
            val known = best[dataCentre]
            return known == null || delayMs < known.delayMs
        }

        fun put(dataCentre: Int, option: T) {
            best[dataCentre] = option
        }
    }

    private var rotation = 0

    /** Returns the best pair for [track], or null if no pair is available. */
    fun choose(track: TrackedRequest, nowMs: Long): PairChoice? {
        if (pool.prefills.isEmpty()) return null
        rotation++
        val passedOver = PassedOverList()
        val decodes = bestDecodes(track, nowMs, passedOver)
        if (decodes.isEmpty()) return null
        val prefills = bestPrefills(track, nowMs, passedOver)
        if (prefills.isEmpty()) return null
        return bestPair(track, prefills, decodes, passedOver, nowMs)
    }

    private fun bestPrefills(track: TrackedRequest, nowMs: Long, passedOver: PassedOverList): List<PrefillOption> {
        val cached = pool.cache.leadingBlocks(track.request.prefix, nowMs)
        val best = BestOptions<PrefillOption>(pool.dataCentres)
        pool.prefills.forEachRotated(rotation) { server ->
            val reason = prefillRejection(server, track, nowMs)
            if (reason != null) {
                passedOver.add(server.facts.server, reason)
            } else {
                val blocks = if (cached.isEmpty()) 0 else cached[server.facts.server] ?: 0
                val tokens = (track.prefillTokens - blocks * server.facts.blockTokens).coerceAtLeast(1).toDouble()
                val readyMs = server.queueDelayMs(track.rank.order, nowMs) + tokens / server.tokensPerMs
                val dataCentre = server.dataCentre
                if (best.isBetter(dataCentre, readyMs)) best.put(dataCentre, PrefillOption(server, tokens, readyMs))
            }
        }
        return best.all
    }

    private fun bestDecodes(track: TrackedRequest, nowMs: Long, passedOver: PassedOverList): List<DecodeOption> {
        val best = BestOptions<DecodeOption>(pool.dataCentres)
        val readyMs = nowMs + track.prefillTokens / pool.capacity(nowMs).fastestTokensPerMs
        pool.decodes.forEachRotated(rotation) { server ->
            val reason = decodeRejection(server, track, nowMs)
            if (reason != null) {
                passedOver.add(server.facts.server, reason)
            } else {
                val delayMs = decodeDelayMs(server, readyMs)
                val dataCentre = server.dataCentre
                if (best.isBetter(dataCentre, delayMs)) best.put(dataCentre, DecodeOption(server, delayMs))
            }
        }
        return best.all
    }

    /** Returns the delay that [server] adds after a prefill that ends at [readyMs], plus a small load penalty. */
    private fun decodeDelayMs(server: DecodeLedger, readyMs: Double): Double {
        val penaltyMs = FULL_SERVER_PENALTY_MS * server.used / server.facts.places
        return server.tokenTime.tokenMs(server.used + 1) + penaltyMs + (server.linkFreeMs - readyMs).coerceAtLeast(0.0)
    }

    private fun prefillRejection(server: PrefillLedger, track: TrackedRequest, nowMs: Long): String? = when {
        server.facts.leaving -> "leaving"
        isPrefillFull(server, track.rank.order) -> "prefill queue full"
        server.cooldown.isActive(nowMs) -> "paused after a failure"
        track.hasFailedOn(server.facts) && pool.prefills.size > 1 -> "failed an earlier attempt of this request"
        !track.hasAdapterIn(server.facts.adapters) -> "adapter not loaded"
        else -> null
    }

    /** A request that overtakes all others on the server may exceed the window by one. */
    private fun isPrefillFull(server: PrefillLedger, order: Int): Boolean =
        server.queuedAhead(order) >= settings.prefillWindow || server.size > settings.prefillWindow

    private fun decodeRejection(server: DecodeLedger, track: TrackedRequest, nowMs: Long): String? = when {
        server.facts.leaving -> "leaving"
        !hasPlace(server, track, nowMs) -> "no free place"
        server.cooldown.isActive(nowMs) -> "paused after a failure"
        track.hasFailedOn(server.facts) && pool.decodes.size > 1 -> "failed an earlier attempt of this request"
        !server.fits(track.blocks(server.facts.blockTokens)) -> "no free memory"
        !track.hasAdapterIn(server.facts.adapters) -> "adapter not loaded"
        else -> null
    }

    private fun hasPlace(server: DecodeLedger, track: TrackedRequest, nowMs: Long): Boolean {
        val free = server.freePlaces(track.rank.betweenTokensMs)
        if (free > 0 || !settings.overlap) return free > 0
        val prefillMs = track.prefillTokens / pool.capacity(nowMs).fastestTokensPerMs
        return free + server.placesFreeBy(nowMs + prefillMs.toLong()) > 0
    }

    private fun bestPair(
        track: TrackedRequest,
        prefills: List<PrefillOption>,
        decodes: List<DecodeOption>,
        passedOver: PassedOverList,
        nowMs: Long,
    ): PairChoice? {
        val bytes = track.prefillTokens * pool.kvBytesPerToken.toDouble()
        var best: kotlin.Pair<PrefillOption, DecodeOption>? = null
        var leastDelayMs = Double.MAX_VALUE
        for (prefill in prefills) {
            for (decode in decodes) {
                val delayMs = prefill.delayMs + transferMs(prefill.server, decode.server, bytes) + decode.delayMs
                if (delayMs >= leastDelayMs) continue
                leastDelayMs = delayMs
                best = prefill to decode
            }
        }
        val (prefill, decode) = best ?: return null
        prefills.filter { it !== prefill }.forEach {
            passedOver.add(it.server.facts.server, "prefill done in ${it.delayMs.roundToLong()} ms")
        }
        decodes.filter { it !== decode }.forEach {
            passedOver.add(it.server.facts.server, "adds a delay of ${it.delayMs.roundToLong()} ms")
        }
        val startMs = maxOf(nowMs + prefill.delayMs, decode.server.linkFreeMs)
        val endMs = startMs + transferMs(prefill.server, decode.server, bytes)
        val firstTokenMs = endMs - nowMs + decode.server.tokenTime.tokenMs(decode.server.used + 1)
        return PairChoice(prefill.server, decode.server, prefill.tokens, endMs, firstTokenMs, passedOver.entries)
    }

    private fun transferMs(prefill: PrefillLedger, decode: DecodeLedger, bytes: Double): Double {
        val rate = minOf(
            bytesPerMs(prefill.facts.linkBytesPerSecond),
            bytesPerMs(decode.facts.linkBytesPerSecond),
        )
        val isSameDataCentre = prefill.dataCentre == decode.dataCentre
        return bytes / rate + if (isSameDataCentre) 0.0 else INTER_DATA_CENTRE_MS
    }

    private fun bytesPerMs(bytesPerSecond: Double) =
        if (bytesPerSecond > 0) bytesPerSecond / MS_PER_SECOND else UNLIMITED_BYTES_PER_MS

    private companion object {
        const val FULL_SERVER_PENALTY_MS = 20.0
        const val INTER_DATA_CENTRE_MS = 3.0
        const val MS_PER_SECOND = 1_000.0
        const val UNLIMITED_BYTES_PER_MS = 1e12
    }
}

/** Bounded list of servers that were passed over, with short reasons. */
internal class PassedOverList {
    private val recorded = ArrayList<PassedOver>(LIMIT)

    /** Entries in the order in which they were added. */
    val entries: List<PassedOver> get() = recorded

    /** Adds an entry unless the list is full. */
    fun add(server: ServerId, reason: String) {
        if (recorded.size < LIMIT) recorded += PassedOver(server, reason)
    }

    private companion object {
        const val LIMIT = 4
    }
}

private inline fun <T> List<T>.forEachRotated(rotation: Int, action: (T) -> Unit) {
    val start = if (isEmpty()) 0 else rotation.mod(size)
    for (i in start until size) action(this[i])
    for (i in 0 until start) action(this[i])
}

/** Compares the values, since comparing the identifiers would box one for each server. */
private fun TrackedRequest.hasFailedOn(facts: ServerFacts): Boolean = lastFailedServer?.value == facts.server.value

private fun TrackedRequest.hasAdapterIn(adapters: Set<AdapterId>): Boolean =
    request.adapter == null || request.adapter in adapters
