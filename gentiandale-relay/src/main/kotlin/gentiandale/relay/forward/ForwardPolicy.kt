package gentiandale.relay.forward

import gentiandale.core.ServerId
import gentiandale.relay.backend.Backend

/** Where a request goes on from the VM that has it. */
internal sealed interface ForwardPath {
    /** To a server. */
    data object Direct : ForwardPath

    /** To one of [peers], other entry VMs, which send it to a server. */
    data class ByPeer(val peers: List<Backend>) : ForwardPath

    /** It waits for the names of peers. */
    data object AwaitPeers : ForwardPath

    /** Nowhere, because of [reason]. */
    data class Nowhere(val reason: String) : ForwardPath
}

/** Decides whether a request is forwarded to another entry VM. */
internal object ForwardPolicy {
    /** Several round trips to a control VM in another data centre. */
    const val MAX_WAIT_MS = 150L

    /**
     * Returns the path of a request.
     *
     * @param isReached whether this VM reaches servers of the service.
     * @param isForwarded whether another entry VM has forwarded the request, which is done only once.
     * @param peers entry VMs that reach the service, or null if no control VM has named them yet.
     * @param askedMs time in milliseconds since the control VMs were asked for them.
     * @param unreachedMs time in milliseconds since peers have said that they reach no server either. For a moment,
     * other names are awaited instead.
     */
    fun next(
        isReached: Boolean,
        isForwarded: Boolean,
        peers: List<Backend>?,
        askedMs: Long,
        unreachedMs: Map<ServerId, Long> = emptyMap(),
    ): ForwardPath {
        val usable = peers?.filterNot { peer -> unreachedMs[peer.row.id]?.let { it < MAX_WAIT_MS } ?: false }
        return when {
            isReached -> ForwardPath.Direct
            isForwarded -> ForwardPath.Nowhere("no server reached from this VM either")
            peers == null && askedMs < MAX_WAIT_MS -> ForwardPath.AwaitPeers
            peers.isNullOrEmpty() -> ForwardPath.Nowhere("no server reached, and no other VM that reaches one")
            usable.isNullOrEmpty() -> ForwardPath.AwaitPeers
            else -> ForwardPath.ByPeer(usable)
        }
    }
}
