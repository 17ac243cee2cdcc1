package gentiandale.cluster

import gentiandale.cluster.member.MemberRow
import gentiandale.cluster.member.RumorBatch
import kotlin.random.Random

/** Anti-entropy: compares the tables with one random VM at a time, and sends differing buckets at a bounded rate. */
internal class TableSync(private val digest: TableDigest, private val times: ClusterTimes) {
    private val pending = ArrayDeque<Pair<MemberRow, RumorBatch>>()
    private var nextOpenMs = 0L

    /** Whether another VM has answered a comparison since the start. */
    var hasSynced = false
        private set

    /** Returns the VM to compare with and the opening message, or null if no comparison is due. */
    fun openIfDue(now: Long, peers: List<MemberRow>, random: Random): Pair<MemberRow, ClusterMessage.SyncOpen>? {
        if (now < nextOpenMs || peers.isEmpty()) return null
        val period = if (hasSynced) times.syncPeriodMs else times.joinPeriodMs
        nextOpenMs = now + period / 2 + random.nextLong(period)
        return peers.random(random) to ClusterMessage.SyncOpen(digest.rootHash(), joining = !hasSynced)
    }

    /** Handles [message] from [peer] and returns the answer, if it needs one. */
    fun handle(peer: MemberRow, message: ClusterMessage.Sync): ClusterMessage.Sync? = when (message) {
        is ClusterMessage.SyncOpen -> answer(message)
        is ClusterMessage.SyncBuckets -> compare(peer, message)
        is ClusterMessage.SyncWant -> {
            enqueue(peer, message.buckets)
            null
        }
        is ClusterMessage.SyncRows -> null
    }

    /** Answers [open]. If the tables are equal, only a joining VM gets an answer: it waits for its first one. */
    private fun answer(open: ClusterMessage.SyncOpen): ClusterMessage.SyncBuckets? = when {
        open.root != digest.rootHash() -> ClusterMessage.SyncBuckets(digest.bucketHashes())
        open.joining -> ClusterMessage.SyncBuckets(emptyList())
        else -> null
    }

    /** Queues the local rows of the buckets that differ from [remote], and returns a request for those of [peer]. */
    private fun compare(peer: MemberRow, remote: ClusterMessage.SyncBuckets): ClusterMessage.SyncWant? {
        hasSynced = true
        if (remote.hashes.isEmpty()) return null
        val differing = digest.differing(remote.hashes)
        if (differing.isEmpty()) return null
        enqueue(peer, differing)
        return ClusterMessage.SyncWant(differing)
    }

    /** Queues the rows of [buckets] for [peer], unless too many batches are pending. */
    private fun enqueue(peer: MemberRow, buckets: List<Int>) {
        if (pending.size > MAX_PENDING) return
        val wanted = buckets.toSet()
        digest.memberRows(wanted).chunked(MAX_ROWS) { pending += peer to RumorBatch(it.toList(), emptyList()) }
        digest.serverRows(wanted).chunked(MAX_ROWS) { pending += peer to RumorBatch(emptyList(), it.toList()) }
    }

    /** Removes and returns the batches to send in this tick. */
    fun dequeueBatches(): List<Pair<MemberRow, RumorBatch>> =
        List(minOf(BATCHES_PER_TICK, pending.size)) { pending.removeFirst() }

    private companion object {
        const val MAX_ROWS = 4
        const val BATCHES_PER_TICK = 24
        const val MAX_PENDING = 4_096
    }
}
