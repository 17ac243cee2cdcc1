package gentiandale.state

import gentiandale.core.VmId
import gentiandale.state.raft.VoterOutcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Request on the store channel, sent to a voter. */
@Serializable
public sealed interface StoreRequest {
    /** Asks for the known leader. It has no side effects. */
    @Serializable
    @SerialName("w")
    public data object GetLeader : StoreRequest

    /** Submits [command] to the leader, which waits up to [timeoutMs] milliseconds for its outcome. */
    @Serializable
    @SerialName("s")
    public data class Submit(val command: StoreCommand, val timeoutMs: Long) : StoreRequest

    /** Asks the leader to replace a voter; see [gentiandale.state.raft.VoterReplacement]. */
    @Serializable
    @SerialName("v")
    public data class ReplaceVoter(val add: VmId?, val remove: VmId?, val timeoutMs: Long) : StoreRequest

    /** Asks the leader for the last [limit] changes. */
    @Serializable
    @SerialName("h")
    public data class History(val limit: Int) : StoreRequest
}

/** Response to a [StoreRequest]. */
@Serializable
public sealed interface StoreAnswer {
    /** Names the [leader] known to this voter, or null; the request itself had no side effects. */
    @Serializable
    @SerialName("l")
    public data class Leader(val leader: VmId?) : StoreAnswer

    /** The command is committed, with this [reply] of the store. */
    @Serializable
    @SerialName("d")
    public data class Done(val reply: StoreReply) : StoreAnswer

    /** The command was not accepted and will not take effect later. */
    @Serializable
    @SerialName("n")
    public data class NotAccepted(val reason: String) : StoreAnswer

    /** The command may or may not be committed. */
    @Serializable
    @SerialName("u")
    public data class NotKnown(val reason: String) : StoreAnswer

    /** Outcome of a [ReplaceVoter] request. */
    @Serializable
    @SerialName("o")
    public data class Voters(val outcome: VoterOutcome) : StoreAnswer

    /** Last [changes], newest first. */
    @Serializable
    @SerialName("c")
    public data class Changes(val changes: List<Change>) : StoreAnswer
}
