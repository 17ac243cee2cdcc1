package gentiandale.relay.upstream

import gentiandale.core.Address
import gentiandale.core.backend.CrashId
import java.util.concurrent.TimeUnit

/**
 * Tells the crash of a server from a single broken connection: a server whose process has ended refuses connections.
 * Confined to the event loop.
 */
internal class CrashDetector(private val transport: Transport, private val probe: ConnectionProbe) {
    private val pending = HashMap<CrashId, ArrayList<() -> Unit>>()

    /** Calls [onCrash] if the server [id] at [address], which has just broken a connection, refuses new ones. */
    fun check(id: CrashId, address: Address, onCrash: () -> Unit) {
        val waiting = pending[id]
        if (waiting != null) {
            waiting += onCrash
            return
        }
        pending[id] = arrayListOf(onCrash)
        connect(id, address, 1)
    }

    /**
     * Reports to [onResult] whether the server at [address], which has just closed a connection, refuses a new one.
     * One connection is enough, since an answer must not wait longer; a server that can't be reached has not refused.
     */
    fun checkOnce(address: Address, onResult: (Boolean) -> Unit) {
        transport.loop.schedule({ probe(address, onResult) }, CHECK_DELAY_MS, TimeUnit.MILLISECONDS)
    }

    private fun connect(id: CrashId, address: Address, attempt: Int) {
        probe(address) { isRefused ->
            when {
                isRefused -> pending.remove(id)?.forEach { it() }
                attempt >= MAX_ATTEMPTS -> pending -= id
                else -> transport.loop.schedule(
                    { connect(id, address, attempt + 1) },
                    RETRY_INTERVAL_MS,
                    TimeUnit.MILLISECONDS,
                )
            }
        }
    }

    private fun probe(address: Address, onResult: (Boolean) -> Unit) =
        probe.open(address) { onResult(it is ProbeResult.Refused) }

    private companion object {
        /** A process that ends may close its connections some time before its listening socket. */
        const val MAX_ATTEMPTS = 3
        const val RETRY_INTERVAL_MS = 60L

        /** Longer than a process that is killed takes to close its sockets, and shorter than callers notice. */
        const val CHECK_DELAY_MS = 30L
    }
}
