package gentiandale.cluster

import gentiandale.cluster.directory.ServerDirectory
import gentiandale.cluster.directory.ServerRow
import gentiandale.cluster.member.MemberRow
import gentiandale.cluster.member.MemberTable
import gentiandale.core.VmState

/** Hashes both tables by bucket. Rows of gone VMs and servers are left out, as each VM expires them at its own time. */
internal class TableDigest(private val members: MemberTable, private val servers: ServerDirectory) {
    private var hashedMembersVersion = -1L
    private var hashedServersVersion = -1L
    private var cachedHashes = LongArray(BUCKETS)

    fun rootHash(): Long = fullHashes().fold(0L) { sum, bucket -> mix(sum + bucket) }

    fun bucketHashes(): List<Int> = fullHashes().map { it.toInt() }

    /** Returns the indices of the buckets whose hashes differ from [remote]. */
    fun differing(remote: List<Int>): List<Int> {
        val local = bucketHashes()
        return local.indices.filter { remote.getOrNull(it) != local[it] }
    }

    fun memberRows(buckets: Set<Int>): List<MemberRow> =
        members.all.filter { it.isPresent && bucketOf(it.vm.value) in buckets }.map(::asAlive)

    fun serverRows(buckets: Set<Int>): List<ServerRow> =
        servers.all.filter { it.isUp && bucketOf(it.server.value) in buckets }

    private fun fullHashes(): LongArray {
        if (hashedMembersVersion == members.version && hashedServersVersion == servers.version) return cachedHashes
        hashedMembersVersion = members.version
        hashedServersVersion = servers.version
        cachedHashes = LongArray(BUCKETS)
        members.all.filter { it.isPresent }.forEach { cachedHashes[bucketOf(it.vm.value)] += it.tableHash() }
        servers.all.filter { it.isUp }.forEach { cachedHashes[bucketOf(it.server.value)] += it.tableHash() }
        return cachedHashes
    }

    private fun asAlive(row: MemberRow) = row.withState(VmState.ALIVE)

    private fun bucketOf(id: String): Int = stableHash(id).mod(BUCKETS)

    private companion object {
        const val BUCKETS = 128
    }
}
