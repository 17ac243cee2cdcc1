package gentiandale.state

import gentiandale.core.VmId
import gentiandale.state.raft.VoterOutcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A question of the store channel, sent to a voter. */
@Serializable
public sealed interface StoreRequest {
    /** Asks who leads. It has no effect. */
    @Serializable
    @SerialName("w")
    public data object GetLeader : StoreRequest

    /** Submits [command] to the leader, which waits for [timeoutMs] milliseconds at most. */
    @Serializable
    @SerialName("s")
    public data class Submit(val command: StoreCommand, val timeoutMs: Long) : StoreRequest

    /** Asks the leader to replace a voter; see [gentiandale.state.raft.VoterReplacement]. */
    @Serializable
    @SerialName("v")
    public data class ReplaceVoter(val add: VmId?, val remove: VmId?, val timeoutMs: Long) : StoreRequest

    /** Asks for the last [limit] changes. */
    @Serializable
    @SerialName("h")
    public data class History(val limit: Int) : StoreRequest
}

/** Answer to a [StoreRequest]. */
@Serializable
public sealed interface StoreAnswer {
    /** This voter does not lead; [leader] does as far as it knows. The request had no effect. */
    @Serializable
    @SerialName("l")
    public data class Leader(val leader: VmId?) : StoreAnswer

    /** The command is committed. */
    @Serializable
    @SerialName("d")
    public data class Done(val reply: StoreReply) : StoreAnswer

    /** The command is not accepted and never will be. */
    @Serializable
    @SerialName("n")
    public data class NotAccepted(val reason: String) : StoreAnswer

    /** The command may or may not be committed. */
    @Serializable
    @SerialName("u")
    public data class NotKnown(val reason: String) : StoreAnswer

    /** What became of the replacement of a voter. */
    @Serializable
    @SerialName("o")
    public data class Voters(val outcome: VoterOutcome) : StoreAnswer

    /** The last [changes], the newest first. */
    @Serializable
    @SerialName("c")
    public data class Changes(val changes: List<Change>) : StoreAnswer
}
