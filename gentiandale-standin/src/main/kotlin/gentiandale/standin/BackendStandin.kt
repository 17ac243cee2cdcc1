package gentiandale.standin

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch

/** Stand-in for a backend server, with configurable speed and faults. */
public interface BackendStandin : AutoCloseable {
    /** Port on which the server listens; valid after [start]. */
    public val port: Int

    /** Whether any request is still in progress. */
    public val holdsWork: Boolean

    /** Starts the HTTP server and the periodic announcements. */
    public fun start()

    /** Announces that the server accepts no new requests. */
    public suspend fun leave()

    /** Starts the shutdown and returns without waiting for open connections to close. */
    override fun close()
}

private const val POLL_INTERVAL_MS = 50L
private const val FLUSH_DELAY_MS = 100L
private val log = LoggerFactory.getLogger("gentiandale.standin")

/** Serves until the process receives a stop signal, then waits up to [graceMs] milliseconds for running requests. */
internal fun BackendStandin.runUntilStopped(graceMs: Long) {
    val stopped = CountDownLatch(1)
    val onStop = Thread {
        runBlocking { leaveWithin(graceMs) }
        close()
        stopped.countDown()
    }
    Runtime.getRuntime().addShutdownHook(onStop)
    start()
    stopped.await()
}

private suspend fun BackendStandin.leaveWithin(graceMs: Long) {
    val done = withTimeoutOrNull(graceMs) {
        leave()
        while (holdsWork) delay(POLL_INTERVAL_MS)
        delay(FLUSH_DELAY_MS)
    }
    if (done == null) log.warn("Requests still running after the grace period of {} ms; aborting them.", graceMs)
}
