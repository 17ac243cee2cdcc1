@file:OptIn(ExperimentalSerializationApi::class)

package gentiandale.cluster.cell

import gentiandale.core.BoardKey
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Id of a cell, for example `chat-small@region/gauteng`. */
@Serializable
@JvmInline
public value class CellId(public val value: String) {
    override fun toString(): String = value
}

/**
 * Load of a cell, sent by its owner to the VMs of the region.
 *
 * @param freePlaces decode places that are neither in use nor reserved.
 * @param backlogMs expected waiting time of newly queued work, in milliseconds.
 * @param sequence number that rises with each summary of the cell; a summary with a lower one is ignored.
 */
@Serializable
public data class CellSummary(
    @CborLabel(1) val cell: CellId,
    @CborLabel(2) val freePlaces: Int,
    @CborLabel(3) val backlogMs: Long,
    @CborLabel(4) val sequence: Long = 0,
)

/** Publishes the summaries of the cells that this VM owns. */
public fun interface SummarySink {
    /** Publishes [summary] in the region; more than one a second for the same cell is dropped. */
    public fun publish(summary: CellSummary)
}

/** Received summaries of the cells of the region. They are a few seconds old. */
public val CELL_SUMMARIES: BoardKey<Map<CellId, CellSummary>> = BoardKey("cell-summaries", emptyMap())
