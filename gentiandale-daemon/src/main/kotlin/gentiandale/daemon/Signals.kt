package gentiandale.daemon

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.system.exitProcess

private const val EXIT_FORCED = 1

/**
 * Starts [vm] and runs it until `SIGTERM` or `SIGINT`, also one that arrives during the start, then shuts it down
 * gracefully and exits. A second signal halts the process at once, without waiting for running work.
 */
internal fun runUntilStopped(vm: EntryVm) {
    val log = LoggerFactory.getLogger("gentiandale.vm")
    val stopRequested = AtomicBoolean()
    val stop = CompletableDeferred<Unit>()
    listOf("TERM", "INT").forEach { name ->
        Signal.handle(Signal(name)) {
            if (stopRequested.getAndSet(true)) {
                log.warn("Received SIG$name during the shutdown; halting without waiting for running work.")
                Runtime.getRuntime().halt(EXIT_FORCED)
            }
            stop.complete(Unit)
        }
    }
    runBlocking {
        vm.start()
        val drain = launch {
            stop.await()
            vm.beginDrain()
        }
        vm.awaitDrained()
        drain.cancel()
    }
    vm.close()
    exitProcess(0)
}
