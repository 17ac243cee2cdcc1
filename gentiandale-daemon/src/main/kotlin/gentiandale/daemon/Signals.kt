package gentiandale.daemon

import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.system.exitProcess

private const val EXIT_FORCED = 1

/**
 * Runs [vm] until `SIGTERM` or `SIGINT`, then shuts it down gracefully and exits. A second signal halts the process at
 * once, without waiting for running work.
 */
internal fun runUntilStopped(vm: EntryVm) {
    val log = LoggerFactory.getLogger("gentiandale.vm")
    val stopRequested = AtomicBoolean()
    listOf("TERM", "INT").forEach { name ->
        Signal.handle(Signal(name)) {
            if (stopRequested.getAndSet(true)) {
                log.warn("Received SIG$name during the shutdown; halting without waiting for running work.")
                Runtime.getRuntime().halt(EXIT_FORCED)
            }
            vm.beginDrain()
        }
    }
    runBlocking { vm.awaitDrained() }
    vm.close()
    exitProcess(0)
}
