package gentiandale.daemon.http

import gentiandale.core.CallOutcome
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import java.util.concurrent.atomic.AtomicInteger

/** Admits calls and counts those being served; once closed, it refuses new ones. Thread-safe. */
internal class CallGate {
    private val running = AtomicInteger()

    /** Whether new calls are refused. */
    @Volatile
    var closed = false
        private set

    /** Number of calls being served. */
    val size: Int get() = running.get()

    /** Refuses new calls from now on. */
    fun close() {
        closed = true
    }

    /** Calls [serve], or [refuse] if the gate is closed. */
    suspend fun <T> admit(refuse: (Refusal) -> T, serve: suspend () -> T): T {
        running.incrementAndGet()
        try {
            return if (closed) refuse(drainingRefusal()) else serve()
        } finally {
            running.decrementAndGet()
        }
    }
}

private const val RETRY_AFTER_MS = 1_000L

/** Returns the refusal of a call that arrives after the gate was closed. */
internal fun drainingRefusal(): Refusal =
    Refusal(RefusalReason.DRAINING, CallOutcome.NOT_RUN, "This VM is shutting down.", RETRY_AFTER_MS)
