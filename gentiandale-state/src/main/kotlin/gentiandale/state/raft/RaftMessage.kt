package gentiandale.state.raft

import gentiandale.state.log.StoredSnapshot
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Raft message between members of a group. Its [term] is the sender's, except in a [PreVote]. */
@Serializable
public sealed interface RaftMessage {
    public val term: Long

    /** Asks whether the receiver would vote for the sender in [term], which the sender has not entered yet. */
    @Serializable
    @SerialName("p")
    public data class PreVote(override val term: Long, val lastIndex: Long, val lastTerm: Long) : RaftMessage

    /** Reply to a [PreVote] for the term [asked]. */
    @Serializable
    @SerialName("pr")
    public data class PreVoteReply(override val term: Long, val asked: Long, val granted: Boolean) : RaftMessage

    /** Requests a vote in [term]. */
    @Serializable
    @SerialName("v")
    public data class Vote(override val term: Long, val lastIndex: Long, val lastTerm: Long) : RaftMessage

    /** Reply to a [Vote]. */
    @Serializable
    @SerialName("vr")
    public data class VoteReply(override val term: Long, val granted: Boolean) : RaftMessage

    /**
     * Replicates [entries], which follow the entry at [prevIndex] with [prevTerm]. Without entries it is a heartbeat.
     *
     * @param sentMs leader's clock at the time of sending; the reply returns it.
     * @param ageMs milliseconds since a majority last confirmed the leader.
     */
    @Serializable
    @SerialName("a")
    public data class Append(
        override val term: Long,
        val prevIndex: Long,
        val prevTerm: Long,
        val commit: Long,
        val sentMs: Long,
        val ageMs: Long = 0,
        val entries: List<LogEntry> = emptyList(),
    ) : RaftMessage

    /** Transfers [snapshot], which replaces the log up to its index. */
    @Serializable
    @SerialName("i")
    public data class Install(
        override val term: Long,
        val sentMs: Long,
        val snapshot: StoredSnapshot,
    ) : RaftMessage

    /**
     * Reply to an [Append] or [Install].
     *
     * @param index if [success], last entry known to match the leader's; otherwise the [Append.prevIndex] to try next.
     */
    @Serializable
    @SerialName("ar")
    public data class AppendReply(
        override val term: Long,
        val success: Boolean,
        val index: Long,
        val sentMs: Long,
    ) : RaftMessage
}

/** A [message] from the member [from] to the member [to]. A VM with a different data folder ignores it. */
@Serializable
public data class RaftEnvelope(
    val group: GroupId,
    val from: Member,
    val to: Member,
    val message: RaftMessage,
)

/**
 * Raft timing in milliseconds.
 *
 * @param heartbeatMs interval of a leader's heartbeats.
 * @param electionMinMs shortest election timeout. A leader that no majority confirms for longer rejects proposals.
 * @param electionMaxMs longest election timeout; a voter draws a random one each time. A leader that no majority
 *   confirms for longer steps down.
 * @param resendMs time after which an unanswered append or vote request is sent again.
 */
public data class RaftSettings(
    val heartbeatMs: Long = 400,
    val electionMinMs: Long = 1_000,
    val electionMaxMs: Long = 1_400,
    val resendMs: Long = 200,
)
