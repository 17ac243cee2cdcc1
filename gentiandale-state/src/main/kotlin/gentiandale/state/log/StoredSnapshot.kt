package gentiandale.state.log

import gentiandale.state.StoreSnapshot
import gentiandale.state.raft.Membership
import kotlinx.serialization.Serializable

/**
 * Snapshot of the state after the entry at [index]. It replaces all entries up to and including that one.
 *
 * @param term term of the entry at [index].
 * @param membership membership in force at [index].
 */
@Serializable
public data class StoredSnapshot(
    val index: Long,
    val term: Long,
    val membership: Membership,
    val store: StoreSnapshot,
)

internal object SnapshotFiles {
    private const val PREFIX = "snapshot-"
    private const val NAME_DIGITS = 20

    fun nameOf(index: Long): String = PREFIX + index.toString().padStart(NAME_DIGITS, '0')

    fun namesIn(names: List<String>): List<String> =
        names.filter { it.startsWith(PREFIX) && !it.endsWith(TEMPORARY_SUFFIX) }.sorted()
}
