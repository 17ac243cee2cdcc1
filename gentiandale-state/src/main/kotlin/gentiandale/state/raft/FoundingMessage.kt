package gentiandale.state.raft

import gentiandale.core.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Number of an attempt to found the group; unique, as it contains the [vm] that makes the attempt. */
@Serializable
public data class FoundingBallot(val round: Long, val vm: VmId) : Comparable<FoundingBallot> {
    override fun compareTo(other: FoundingBallot): Int = compareValuesBy(this, other, { it.round }, { it.vm })
}

/** Group to found, with its first voters. */
@Serializable
public data class FoundingProposal(val group: GroupId, val members: List<Member>)

/** Proposal that a member has accepted under [ballot]. */
@Serializable
public data class AcceptedProposal(val ballot: FoundingBallot, val proposal: FoundingProposal)

/**
 * Durable state of a member that takes part in founding the group. A data folder without it, such as that of a VM that
 * lost its disk, must not take part.
 *
 * @param initial VMs of which a majority founds the group, as known at the first start.
 * @param promised highest ballot seen; lower ones are rejected.
 * @param accepted last accepted proposal; null if there is none.
 */
@Serializable
public data class FoundingState(
    val initial: List<VmId>,
    val promised: FoundingBallot? = null,
    val accepted: AcceptedProposal? = null,
)

/** Message of the single-decree Paxos that agrees on the first voters. */
@Serializable
public sealed interface FoundingMessage {
    /** Asks to promise that no lower ballot than [ballot] is accepted any more. */
    @Serializable
    @SerialName("fp")
    public data class Prepare(val ballot: FoundingBallot) : FoundingMessage

    /** Promise for [ballot], with the proposal [accepted] earlier. */
    @Serializable
    @SerialName("fpr")
    public data class Promise(val ballot: FoundingBallot, val accepted: AcceptedProposal? = null) : FoundingMessage

    /** Asks to accept [proposal] under [ballot]. */
    @Serializable
    @SerialName("fa")
    public data class Accept(val ballot: FoundingBallot, val proposal: FoundingProposal) : FoundingMessage

    /** States that the sender has accepted the proposal of [ballot]. */
    @Serializable
    @SerialName("far")
    public data class Accepted(val ballot: FoundingBallot) : FoundingMessage

    /** Rejects a ballot, as the sender has promised the higher one [promised]. */
    @Serializable
    @SerialName("fr")
    public data class Rejected(val promised: FoundingBallot) : FoundingMessage

    /** States that a majority has accepted [proposal]. */
    @Serializable
    @SerialName("fd")
    public data class Decided(val proposal: FoundingProposal) : FoundingMessage
}
