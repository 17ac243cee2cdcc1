package gentiandale.state.raft

import gentiandale.core.VmId
import gentiandale.state.StoreCommand
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identity of a data folder, stored in it. A VM that lost its data folder comes back with a new identity. */
@Serializable
@JvmInline
public value class VoterId(public val value: String) : Comparable<VoterId> {
    override fun compareTo(other: VoterId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a Raft group. It does not change when members are replaced. */
@Serializable
@JvmInline
public value class GroupId(public val value: String) {
    override fun toString(): String = value
}

/** A VM and the identity of its data folder. */
@Serializable
public data class Member(val vm: VmId, val voter: VoterId) {
    override fun toString(): String = "$vm/$voter"
}

/**
 * Members of a Raft group.
 *
 * @param voters members that count towards the quorum of elections and commits.
 * @param learners members that receive the log but do not count towards the quorum.
 */
@Serializable
public data class Membership(
    val voters: List<Member> = emptyList(),
    val learners: List<Member> = emptyList(),
) {
    /** Number of voters that make a majority. */
    val quorum: Int get() = voters.size / 2 + 1

    /** All members: voters, then learners. */
    val all: List<Member> get() = voters + learners

    /** Returns whether [voter] counts towards the quorum. */
    public fun isVoter(voter: VoterId): Boolean = voters.any { it.voter == voter }
}

/** Content of a [LogEntry]. */
@Serializable
public sealed interface Payload {
    /** First entry of each leader, without effect; committing it commits the entries of earlier terms. */
    @Serializable
    @SerialName("n")
    public data object NoOp : Payload

    /** Command for the store. */
    @Serializable
    @SerialName("c")
    public data class Command(val command: StoreCommand) : Payload

    /** New membership, which takes effect when the entry is appended. */
    @Serializable
    @SerialName("m")
    public data class Members(val membership: Membership) : Payload
}

/**
 * Entry of the replicated log.
 *
 * @param index position in the log, starting at 1.
 * @param term term of the leader that created the entry.
 */
@Serializable
public data class LogEntry(val index: Long, val term: Long, val payload: Payload)

/**
 * Durable state of a member besides the log.
 *
 * @param votedFor candidate that received this member's vote in [term], or null.
 * @param group group that this member belongs to; null until it has joined one.
 * @param founding part of this member in founding the group; null if it has none.
 */
@Serializable
public data class VoteState(
    val term: Long = 0,
    val votedFor: VoterId? = null,
    val group: GroupId? = null,
    val founding: FoundingState? = null,
)
