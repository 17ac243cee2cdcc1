package gentiandale.state.raft

import gentiandale.core.VmId
import kotlinx.serialization.Serializable

/**
 * Settings of a [Replica].
 *
 * @param snapshotEntries applied entries after which a snapshot is taken.
 * @param keptEntries entries kept behind a snapshot for members that lag.
 * @param helloMs interval in milliseconds at which a member that is no voter says that it is there.
 * @param mayFound whether this member may found a group; false where a group is known to exist.
 * @param voters how voters are replaced without an operator; null if they are not.
 */
public data class ReplicaSettings(
    val raft: RaftSettings = RaftSettings(),
    val snapshotEntries: Long = 4_096,
    val keptEntries: Long = 1_024,
    val helloMs: Long = 500,
    val mayFound: Boolean = true,
    val voters: AutomaticVoters? = null,
)

/**
 * Position of one member.
 *
 * @param leader leader as far as known.
 * @param confirmedMs monotonic time in milliseconds when a majority last confirmed what is applied here.
 */
public data class ReplicaStatus(
    val self: Member,
    val leader: VmId?,
    val isLeader: Boolean,
    val term: Long,
    val confirmedMs: Long,
    val appliedIndex: Long,
    val membership: Membership,
)

/** Outcome of a replacement of a voter. */
@Serializable
public sealed interface VoterOutcome {
    /** The [membership] is in force and as wished. */
    @Serializable
    public data class Done(val membership: Membership) : VoterOutcome

    /** Nothing was changed. */
    @Serializable
    public data class NotAccepted(val reason: String) : VoterOutcome

    /** The change may have happened. Asking again is harmless. */
    @Serializable
    public data class NotKnown(val reason: String) : VoterOutcome
}
