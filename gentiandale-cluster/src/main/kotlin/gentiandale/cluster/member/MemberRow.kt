@file:OptIn(ExperimentalSerializationApi::class)

package gentiandale.cluster.member

import gentiandale.cluster.mix
import gentiandale.cluster.stableHash
import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.KnownVm
import gentiandale.core.RegionId
import gentiandale.core.VmId
import gentiandale.core.VmState
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Gossiped facts of an entry VM. The fields are those of [KnownVm]. */
@Serializable
public data class MemberRow(
    @CborLabel(1) val vm: VmId,
    @CborLabel(2) val dataCentre: DataCentreId,
    @CborLabel(3) val region: RegionId,
    @CborLabel(4) val http: Address,
    @CborLabel(5) val peer: Address,
    @CborLabel(6) val voter: Boolean = false,
    @CborLabel(7) val incarnation: Incarnation = Incarnation(0),
    @CborLabel(8) val stateCode: Int = 0,
) {
    /** State of the VM. A code that this process does not know counts as dead. */
    public val state: VmState get() = VmState.entries.getOrElse(stateCode) { VmState.DEAD }

    /** Whether the VM is alive or only suspected. */
    internal val isPresent: Boolean get() = state == VmState.ALIVE || state == VmState.SUSPECT

    internal fun withState(state: VmState): MemberRow = copy(stateCode = state.ordinal)

    internal fun tableHash(): Long = mix(mix(stableHash(vm.value) + incarnation.value) + stableHash("$http $peer"))

    internal fun toKnownVm(): KnownVm =
        KnownVm(vm, dataCentre, region, http, peer, voter, incarnation, state)
}

/** Returns the row that gossips this VM. */
public fun KnownVm.toMemberRow(): MemberRow =
    MemberRow(vm, dataCentre, region, http, peer, voter, incarnation, state.ordinal)
