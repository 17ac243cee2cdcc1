package gentiandale.fleet

import gentiandale.core.DataCentreId
import gentiandale.core.VmId
import gentiandale.core.backend.ForwardPeer

/**
 * Chooses the entry VMs to which [asking] can forward requests. It orders them by a hash of both VMs, so that VMs that
 * were cut off together use different ones, and all control VMs give the same answer.
 *
 * @param dataCentre data centre of [asking], whose VMs come first; null if it is unknown.
 * @param candidates entry VMs that run; [asking] may be one of them.
 */
internal class ForwardPeerChoice(
    private val asking: VmId,
    dataCentre: DataCentreId?,
    private val candidates: Collection<ForwardPeer>,
) {
    private val ownPeers = ordered { it.dataCentre == dataCentre }
    private val otherPeers by lazy(LazyThreadSafetyMode.NONE) { ordered { it.dataCentre != dataCentre } }

    private fun ordered(isIncluded: (ForwardPeer) -> Boolean): List<ForwardPeer> =
        candidates.filter { it.vm != asking && isIncluded(it) }
            .map { it to rank(it.vm) }
            .sortedWith(compareBy({ it.second }, { it.first.vm }))
            .map { it.first }

    /** Returns the peers for requests of a service of which those with [isCutOff] reach no server, the best first. */
    fun choose(isCutOff: (VmId) -> Boolean): List<ForwardPeer> {
        val own = ownPeers.takeReaching(MAX_PEERS, isCutOff)
        if (own.size >= MIN_OWN_PEERS) return own
        return own + otherPeers.takeReaching(MAX_PEERS - own.size, isCutOff)
    }

    private fun List<ForwardPeer>.takeReaching(count: Int, isCutOff: (VmId) -> Boolean) =
        asSequence().filterNot { isCutOff(it.vm) }.take(count).toList()

    private fun rank(vm: VmId): Long {
        val hashes = (asking.value.hashCode().toLong() shl Int.SIZE_BITS) xor vm.value.hashCode().toLong()
        return mix(hashes)
    }

    /** Mixes the bits of [value] so that each input bit affects the whole result (the finaliser of SplitMix64). */
    private fun mix(value: Long): Long {
        var h = value
        h = (h xor (h ushr SHIFT_1)) * MIX_1
        h = (h xor (h ushr SHIFT_2)) * MIX_2
        return h xor (h ushr SHIFT_3)
    }

    companion object {
        /** Most peers in an answer. */
        const val MAX_PEERS = 6

        /** With fewer peers in its own data centre, a VM gets some of others too. */
        private const val MIN_OWN_PEERS = 2

        private const val MIX_1 = -0x40a7b892e31b1a47L
        private const val MIX_2 = -0x6b2fb644ecceee15L
        private const val SHIFT_1 = 30
        private const val SHIFT_2 = 27
        private const val SHIFT_3 = 31
    }
}
