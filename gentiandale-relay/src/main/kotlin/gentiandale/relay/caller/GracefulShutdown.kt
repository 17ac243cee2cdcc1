package gentiandale.relay.caller

import gentiandale.relay.ShutdownWindow
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Graceful shutdown of [server], whose clients may go on sending for a while. Requests are answered until none has come
 * for [quietMs] milliseconds, but at least for [minMs] milliseconds; then the server stops listening, and the shutdown
 * ends when the last connection has been answered and closed.
 */
public class GracefulShutdown(
    private val server: HttpServer,
    private val loop: EventLoop,
    private val nowMs: () -> Long,
    private val minMs: Long,
    private val quietMs: Long,
) {
    /**
     * Runs the shutdown within [window]. Blocks, so it must not be called on the event loop.
     *
     * @return whether every request has been answered.
     */
    public fun run(window: ShutdownWindow): Boolean {
        onLoop { server.isDraining = true }
        while (!window.isEnding(nowMs()) && !isQuiet(window)) Thread.sleep(POLL_MS)
        stopListening(window)
        while (openConnections() > 0 && nowMs() < window.endMs) Thread.sleep(POLL_MS)
        return !onLoop { server.isBusy }
    }

    private fun isQuiet(window: ShutdownWindow): Boolean =
        nowMs() - window.sinceMs >= minMs && onLoop { server.quietMs } >= quietMs

    /** Stops listening when all connections that wait have been accepted, or at the latest at the end of [window]. */
    private fun stopListening(window: ShutdownWindow) {
        var accepted = onLoop { server.acceptedCount }
        // The time begins when the event loop responds: until then it accepts nothing.
        val endMs = minOf(nowMs() + MAX_ACCEPT_MS, window.endMs)
        do {
            val before = accepted
            accepted = afterReading {
                if (server.acceptedCount == before || nowMs() >= endMs) server.close()
                server.acceptedCount
            }
        } while (accepted != before && nowMs() < endMs)
        onLoop { server.close() }
    }

    /** Closes the connections on which no request is arriving, and returns the number of the others. */
    private fun openConnections(): Int = afterReading {
        server.closeIdle(REQUEST_ARRIVAL_MS)
        server.openCount
    }

    /** Runs [action] after the event loop has read what had arrived on all sockets before the call. */
    private fun <T> afterReading(action: () -> T): T =
        onLoop { loop.schedule(action, READ_DELAY_MS, TimeUnit.MILLISECONDS) }.get()

    private fun <T> onLoop(action: () -> T): T = loop.submit(action).get()

    private companion object {
        const val POLL_MS = 20L

        /** A task that is due later runs in another pass of the event loop, which reads all sockets first. */
        const val READ_DELAY_MS = 1L

        /** Clients that go on connecting don't keep the server listening for longer. */
        const val MAX_ACCEPT_MS = 500L

        /** A request that has begun to arrive, or that a new connection is for, is complete within this time. */
        const val REQUEST_ARRIVAL_MS = 250L
    }
}
