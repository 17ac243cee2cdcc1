package gentiandale.state

import gentiandale.core.Configuration
import kotlinx.coroutines.flow.StateFlow

/** Outcome of submitting a command to the store. */
public sealed interface SubmitOutcome {
    /** The command is committed, with this [reply] of the store. */
    public data class Done(val reply: StoreReply) : SubmitOutcome

    /** The command was not accepted and will not take effect later. */
    public data class NotAccepted(val reason: String) : SubmitOutcome

    /** The command may or may not be committed. Resubmitting it under the same key gives its outcome. */
    public data class NotKnown(val reason: String) : SubmitOutcome
}

/** Store replicated among the voters. */
public interface ReplicatedStore {
    /** Last committed configuration known to this process. A VM that is not a voter receives it from other VMs. */
    public val configuration: StateFlow<Configuration>

    /** Submits [command] and waits up to [timeoutMs] milliseconds for its outcome. */
    public suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome
}
