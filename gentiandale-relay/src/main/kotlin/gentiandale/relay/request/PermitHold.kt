package gentiandale.relay.request

import gentiandale.relay.backend.Backend

/** Permits that one request holds from the choice of its servers until it is sent to them. */
internal class PermitHold(private val nowMs: () -> Long) {
    private val servers = ArrayList<Backend>(2)

    /** Takes a permit for [server], if it has a limit and a permit is left. */
    fun take(server: Backend) {
        val now = nowMs()
        if (server.limit.perSecond(now) != null && server.limit.take(now)) servers += server
    }

    /** Uses the permit held for [server] or another one; returns false if the request must not be sent. */
    fun use(server: Backend): Boolean {
        val now = nowMs()
        return server.limit.perSecond(now) == null || servers.remove(server) || server.limit.take(now)
    }

    /** Returns the permits that were not used. */
    fun release() {
        servers.forEach { it.limit.giveBack(nowMs()) }
        servers.clear()
    }
}
