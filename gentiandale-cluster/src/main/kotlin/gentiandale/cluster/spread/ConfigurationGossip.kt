package gentiandale.cluster.spread

import gentiandale.cluster.ClusterMessage.ConfigurationPage
import gentiandale.cluster.ClusterMessage.ConfigurationPull
import gentiandale.cluster.RecordChange
import gentiandale.core.Configuration
import gentiandale.core.VmId

/** Action that [ConfigurationGossip] requests from its caller. */
internal sealed interface GossipAction {
    /** Push [page] to a few VMs. */
    data class Push(val page: ConfigurationPage) : GossipAction

    /** Send [pull] to the VM [to]. */
    data class Pull(val to: VmId, val pull: ConfigurationPull) : GossipAction
}

private class Fetch(
    val from: VmId,
    val since: Long,
    var lastPageMs: Long,
    var after: String? = null,
    var revision: Long = 0,
    var base: Long = 0,
    val received: MutableList<RecordChange> = mutableListOf(),
)

/**
 * Distributes the accepted configuration by gossip. A VM that receives a new revision pushes it once to a few VMs.
 * Every datagram also carries the sender's active revision, so that a VM that no push reached pulls the changes it
 * lacks. The active revision never decreases.
 */
internal class ConfigurationGossip(restored: ConfigurationState) {
    private val table = ChangeTable(restored)
    private var confirmedAtMs: Long? = null
    private var fetch: Fetch? = null
    private var highestKnownRevision = 0L

    /** Whether no other VM has reported a later revision. */
    val isCurrent: Boolean get() = highestKnownRevision <= revision

    val revision: Long get() = table.revision

    /** Monotonic time at which a majority last confirmed the active configuration as the newest; null if never. */
    val confirmedMs: Long? get() = confirmedAtMs

    fun configuration(): Configuration = table.configuration()

    fun state(): ConfigurationState = table.state()

    /** Activates a [configuration] that the store accepted, if it is newer than the active one. */
    fun accept(configuration: Configuration): List<GossipAction> {
        val base = table.revision
        if (configuration.revision <= base) return emptyList()
        table.accept(configuration)
        return listOfNotNull(pushSince(base))
    }

    /** Records that a majority confirmed the active configuration [ageMs] milliseconds before [now]. */
    fun recordConfirmation(now: Long, ageMs: Long) {
        confirmedAtMs = maxOf(confirmedAtMs ?: Long.MIN_VALUE, now - ageMs)
    }

    /** Handles the active revision of [from], confirmed [ageMs] milliseconds ago, and pulls it if it is newer. */
    fun receiveRevision(from: VmId, remoteRevision: Long, ageMs: Long?, now: Long): List<GossipAction> {
        highestKnownRevision = maxOf(highestKnownRevision, remoteRevision)
        if (remoteRevision > revision) return pull(from, now)
        if (ageMs != null && remoteRevision == revision) recordConfirmation(now, ageMs)
        return emptyList()
    }

    /** Returns the page that [pull] requests. */
    fun answer(pull: ConfigurationPull): ConfigurationPage {
        val changes = table.since(pull.since)
        val base = if (changes == null) 0 else pull.since
        val remaining = (changes ?: table.presentRecords()).filter {
            pull.after == null || it.id.toString() > pull.after
        }
        val page = firstPage(remaining)
        return ConfigurationPage(revision, base, page, pull.after, last = page.size == remaining.size)
    }

    /** Handles a [page] of [from], pulled or pushed. */
    fun receivePage(from: VmId, page: ConfigurationPage, now: Long): List<GossipAction> {
        if (page.revision <= revision) return emptyList()
        val isSinglePage = page.after == null && page.last
        val appliesHere = page.base == 0L || page.base <= revision
        if (isSinglePage && appliesHere) return apply(page.base, page.revision, page.records)
        val current = fetch
        if (current == null || current.from != from || !appliesHere) return pull(from, now)
        return continueFetch(current, page, now)
    }

    /** Drops a fetch that has timed out, so that the next newer revision of any VM starts another. */
    fun tick(now: Long): List<GossipAction> {
        val current = fetch ?: return emptyList()
        if (now - current.lastPageMs >= FETCH_TIMEOUT_MS) fetch = null
        return emptyList()
    }

    private fun pull(from: VmId, now: Long): List<GossipAction> {
        if (fetch != null) return emptyList()
        val started = Fetch(from, revision, now)
        fetch = started
        return listOf(GossipAction.Pull(from, ConfigurationPull(started.since)))
    }

    /** Handles a page of a fetch. A page out of sequence is a late answer to an earlier fetch and is ignored. */
    private fun continueFetch(current: Fetch, page: ConfigurationPage, now: Long): List<GossipAction> {
        if (page.after != current.after) return emptyList()
        if (page.after == null) {
            current.revision = page.revision
            current.base = page.base
        }
        if (page.revision != current.revision || page.base != current.base) {
            fetch = null
            return pull(current.from, now)
        }
        current.received += page.records
        current.lastPageMs = now
        if (page.last) return apply(current.base, current.revision, current.received)
        current.after = page.records.last().id.toString()
        return listOf(GossipAction.Pull(current.from, ConfigurationPull(current.since, current.after)))
    }

    private fun apply(base: Long, newRevision: Long, changes: List<RecordChange>): List<GossipAction> {
        val previous = revision
        table.apply(base, newRevision, changes)
        fetch = null
        return listOfNotNull(pushSince(previous))
    }

    private fun pushSince(base: Long): GossipAction? {
        val page = answer(ConfigurationPull(base))
        return GossipAction.Push(page).takeIf { page.last }
    }

    private fun firstPage(changes: List<RecordChange>): List<RecordChange> {
        var bytes = 0
        var count = 0
        for (change in changes) {
            bytes += RECORD_OVERHEAD_BYTES + (change.record?.body?.length ?: 0)
            if (count > 0 && bytes > PAGE_BYTES) break
            count++
        }
        return changes.take(count)
    }

    private companion object {
        /** Page size that keeps the datagram below the usual MTU. A larger record gets a page of its own. */
        const val PAGE_BYTES = 1_000
        const val RECORD_OVERHEAD_BYTES = 80
        const val FETCH_TIMEOUT_MS = 500L
    }
}
