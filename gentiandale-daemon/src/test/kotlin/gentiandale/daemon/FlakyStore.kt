package gentiandale.daemon

import gentiandale.state.LocalStore
import gentiandale.state.ReplicatedStore
import gentiandale.state.StoreCommand
import gentiandale.state.SubmitOutcome
import java.util.concurrent.ConcurrentLinkedQueue

/** Fault injected into one command to a [FlakyStore]. */
enum class StoreFault {
    /** The command is refused, as without a majority. */
    REFUSE,

    /** The command is committed, but the reply is lost. */
    LOSE_REPLY,

    /** The command is lost before it is committed. */
    LOSE,
}

/** Store that injects [settleFaults] into settlements of keys, and [faults] into all other commands. */
class FlakyStore(private val store: LocalStore = LocalStore()) : ReplicatedStore by store {
    val faults = ConcurrentLinkedQueue<StoreFault>()
    val settleFaults = ConcurrentLinkedQueue<StoreFault>()

    override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome {
        val pendingFaults = if (command is StoreCommand.SettleKey) settleFaults else faults
        return when (pendingFaults.poll()) {
            null -> store.submit(command, timeoutMs)
            StoreFault.REFUSE -> SubmitOutcome.NotAccepted("no majority")
            StoreFault.LOSE -> SubmitOutcome.NotKnown("no reply")
            StoreFault.LOSE_REPLY -> {
                store.submit(command, timeoutMs)
                SubmitOutcome.NotKnown("no reply")
            }
        }
    }
}
