package gentiandale.state.raft

import gentiandale.core.VmId
import kotlinx.serialization.Serializable

/** How a member without a group may bootstrap one. */
public sealed interface GroupFormation {
    /**
     * One initial voter bootstraps the group when all others have replied that they are in none. It is safe without
     * knowing whether this is the first start: a VM that lost its disk never gets all replies of a group that exists.
     */
    public data object AfterAllReplies : GroupFormation

    /** A majority of the initial voters founds the group. Only valid if the data folders have never been used. */
    public data object AtFirstStart : GroupFormation

    /** The member takes part only if its data folder shows that it did so at the first start. */
    public data object AsRecorded : GroupFormation
}

/**
 * Settings of a [Replica].
 *
 * @param snapshotEntries number of applied entries after which a snapshot is taken.
 * @param keptEntries number of entries kept before the snapshot's index, for members that lag behind.
 * @param helloMs interval in milliseconds of the hello messages of a member that is not a voter or knows no leader.
 * @param formation how this member may bootstrap a group.
 * @param voterReplacement policy for replacing voters without an operator; null to leave replacement to operators.
 */
public data class ReplicaSettings(
    val raft: RaftSettings = RaftSettings(),
    val snapshotEntries: Long = 4_096,
    val keptEntries: Long = 1_024,
    val helloMs: Long = 500,
    val formation: GroupFormation = GroupFormation.AfterAllReplies,
    val voterReplacement: VoterReplacementPolicy? = null,
)

/**
 * Status of one member.
 *
 * @param group group that this member belongs to; null until it has joined one.
 * @param leader known leader of the current term, or null.
 * @param confirmedMs monotonic time in milliseconds at which a majority last confirmed the state applied here.
 * @param isCurrentLeader whether this member is the leader and has applied an entry of its term, and with it all that
 *   were committed before [confirmedMs].
 */
public data class ReplicaStatus(
    val self: Member,
    val group: GroupId?,
    val leader: VmId?,
    val isLeader: Boolean,
    val term: Long,
    val confirmedMs: Long,
    val appliedIndex: Long,
    val membership: Membership,
    val isCurrentLeader: Boolean = false,
)

/** Outcome of a [VoterReplacement]. */
@Serializable
public sealed interface VoterOutcome {
    /** The requested [membership] is committed. */
    @Serializable
    public data class Done(val membership: Membership) : VoterOutcome

    /** The replacement was rejected and nothing was changed. */
    @Serializable
    public data class NotAccepted(val reason: String) : VoterOutcome

    /** The change may or may not have been made. Repeating the request is idempotent. */
    @Serializable
    public data class NotKnown(val reason: String) : VoterOutcome
}
