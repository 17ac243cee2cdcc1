package gentiandale.relay.upstream

import gentiandale.core.Address
import gentiandale.core.log.EventLog
import gentiandale.relay.ConnectionUse
import gentiandale.relay.RelayEvent
import gentiandale.relay.RelayStats

/** Numbers the connections to servers, and logs and counts what arrives on them and is no answer that is due. */
internal class ConnectionObserver(private val log: EventLog, private val stats: RelayStats) {
    private var opened = 0L

    /** Returns the number of a new connection. */
    fun nextNumber(): Long = ++opened

    /**
     * Records bytes of the server at [address], which came by [use].
     *
     * @param expected id of the request whose answer was due, or null.
     * @param received id in the answer that came, or null.
     */
    fun onStray(kind: StrayAnswer, address: Address, use: ConnectionUse, expected: String?, received: String?) {
        log.write(RelayEvent.StrayAnswerRead(kind, address, use, expected, received))
        stats.onStrayAnswer(kind.label)
    }
}
