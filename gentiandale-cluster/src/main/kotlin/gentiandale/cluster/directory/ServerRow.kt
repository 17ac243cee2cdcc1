@file:OptIn(ExperimentalSerializationApi::class)

package gentiandale.cluster.directory

import gentiandale.cluster.mix
import gentiandale.cluster.stableHash
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Gossiped facts of a backend server.
 *
 * @param version rises with each change within one incarnation.
 * @param gone whether the owner marked the server as gone because its reports timed out.
 */
@Serializable
public data class ServerRow(
    @CborLabel(1) val facts: ServerFacts,
    @CborLabel(2) val version: Long = 1,
    @CborLabel(3) val gone: Boolean = false,
) {
    internal val server: ServerId get() = facts.server

    internal val isUp: Boolean get() = !gone

    internal fun tableHash(): Long {
        val leaving = if (facts.leaving) 1L else 0L
        return mix(mix(stableHash(server.value) + facts.incarnation.value) + version * 2 + leaving)
    }

    /**
     * Merges two rows of the same server. The later incarnation wins, then the higher version. `leaving` is final
     * within an incarnation. The result does not depend on the order in which rows are merged.
     */
    internal fun merge(other: ServerRow): ServerRow {
        val order = ORDER.compare(this, other)
        val winner = if (order >= 0) this else other
        if (facts.incarnation != other.facts.incarnation) return winner
        val leaving = facts.leaving || other.facts.leaving
        return if (winner.facts.leaving == leaving) winner else winner.copy(facts = winner.facts.copy(leaving = true))
    }

    private companion object {
        val ORDER = compareBy<ServerRow>({ it.facts.incarnation }, { it.version }, { it.gone }, { it.tieBreak() })
    }

    private fun tieBreak(): String = facts.copy(leaving = false).toString()
}
