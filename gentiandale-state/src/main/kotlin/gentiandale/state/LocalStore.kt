package gentiandale.state

import gentiandale.core.Configuration
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow

/** In-memory store of a single process without durability, for tests. */
public class LocalStore : ReplicatedStore {
    private val machine = StoreMachine()
    private val current = MutableStateFlow(Configuration())

    override val configuration: StateFlow<Configuration> = current.asStateFlow()

    override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome = synchronized(machine) {
        val reply = machine.apply(command)
        current.value = machine.configuration()
        SubmitOutcome.Done(reply)
    }
}
