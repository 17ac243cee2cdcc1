package gentiandale.relay.caller

import gentiandale.relay.ShutdownWindow
import io.netty.channel.EventLoop

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
        onLoop { server.close() }
        while (openConnections() > 0 && nowMs() < window.endMs) Thread.sleep(POLL_MS)
        return !onLoop { server.isBusy }
    }

    private fun isQuiet(window: ShutdownWindow): Boolean =
        nowMs() - window.sinceMs >= minMs && onLoop { server.quietMs } >= quietMs

    /** Closes the connections on which no request is arriving, and returns the number of the others. */
    private fun openConnections(): Int = onLoop {
        server.closeIdle(REQUEST_ARRIVAL_MS)
        server.openCount
    }

    private fun <T> onLoop(action: () -> T): T = loop.submit(action).get()

    private companion object {
        const val POLL_MS = 20L

        /** A request that has begun to arrive, or that a new connection is for, is complete within this time. */
        const val REQUEST_ARRIVAL_MS = 250L
    }
}
