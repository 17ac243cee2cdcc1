package gentiandale.cluster

import gentiandale.core.VmId

/** A ping that this VM sent to [target] on behalf of [requester], which numbered it [sequence]. */
internal class RelayedPing(val requester: VmId, val target: VmId, val sequence: Long, val sentMs: Long)

/** Pings on behalf of other VMs whose ack is outstanding. */
internal class RelayedPings {
    private val pending = LinkedHashMap<Long, RelayedPing>()
    private var lastSequence = 0L

    /** Adds a ping and returns its sequence number, negative so that it can't equal one of this VM's own probes. */
    fun add(requester: VmId, request: ClusterMessage.PingRequest, now: Long): Long {
        pending.values.removeIf { now - it.sentMs > ACK_TIMEOUT_MS }
        lastSequence--
        pending[lastSequence] = RelayedPing(requester, request.target, request.sequence, now)
        return lastSequence
    }

    /** Removes and returns the ping that the ack [sequence] of [from] answers, or null if there is none. */
    fun take(from: VmId, sequence: Long): RelayedPing? {
        if (pending[sequence]?.target != from) return null
        return pending.remove(sequence)
    }

    private companion object {
        const val ACK_TIMEOUT_MS = 2_000L
    }
}
