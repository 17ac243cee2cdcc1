package gentiandale.daemon.request

import gentiandale.core.Clock
import gentiandale.core.RequestId
import gentiandale.core.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One decision about a request, or change of its state.
 *
 * @param atMs wall-clock time in milliseconds.
 */
@Serializable
internal data class JournalEntry(
    @SerialName("at_ms") val atMs: Long,
    val vm: VmId,
    val text: String,
)

/**
 * Keeps the first [MAX_ENTRIES] entries of each of the latest [MAX_REQUESTS] requests. Thread-safe.
 */
internal class RequestJournal(private val vm: VmId, private val clock: Clock) {
    private val forwarded = object : LinkedHashMap<RequestId, MutableSet<VmId>>() {
        override fun removeEldestEntry(eldest: Map.Entry<RequestId, MutableSet<VmId>>) = size > MAX_REQUESTS
    }
    private val requests = object : LinkedHashMap<RequestId, MutableList<JournalEntry>>() {
        override fun removeEldestEntry(eldest: Map.Entry<RequestId, MutableList<JournalEntry>>) = size > MAX_REQUESTS
    }

    /** Adds an entry with [text] to [request]. */
    @Synchronized
    fun record(request: RequestId, text: String) {
        val entries = requests.getOrPut(request) { mutableListOf() }
        if (entries.size < MAX_ENTRIES) entries += JournalEntry(clock.wallMs(), vm, text.take(MAX_TEXT_CHARS))
    }

    /** Records that [request] was forwarded to [owner]. */
    @Synchronized
    fun recordForwarded(request: RequestId, owner: VmId) {
        record(request, "Forwarded to $owner.")
        forwarded.getOrPut(request) { mutableSetOf() } += owner
    }

    /** Returns the VMs to which [request] was forwarded. */
    @Synchronized
    fun ownersOf(request: RequestId): Set<VmId> = forwarded[request]?.toSet().orEmpty()

    /** Returns the entries of [request], oldest first, or an empty list if there are none. */
    @Synchronized
    fun entriesOf(request: RequestId): List<JournalEntry> = requests[request]?.toList().orEmpty()

    private companion object {
        const val MAX_REQUESTS = 1_000
        const val MAX_ENTRIES = 48
        const val MAX_TEXT_CHARS = 300
    }
}
