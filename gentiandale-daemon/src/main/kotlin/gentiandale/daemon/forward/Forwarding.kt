package gentiandale.daemon.forward

import gentiandale.core.Clock
import gentiandale.core.Incarnation
import gentiandale.core.RequestId
import gentiandale.core.VmId
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.Completion
import gentiandale.daemon.request.JournalEntry
import gentiandale.daemon.request.RequestDependencies
import gentiandale.wire.Channel
import gentiandale.wire.PeerNode
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/** Connects [ForwardClient] and [ForwardServer] to [Channel.FORWARD] of [node]. */
internal class Forwarding(
    private val node: PeerNode,
    incarnation: Incarnation,
    private val clock: Clock,
    private val deps: RequestDependencies,
    times: ForwardTimes,
    run: (Completion) -> Flow<Answer>,
) {
    private val log = LoggerFactory.getLogger("gentiandale.forward")

    /** Forwards the requests of this VM's callers. */
    val client = ForwardClient(node.self, incarnation, clock, times, deps.counters, ::send)

    /** Runs requests forwarded to this VM as the owner. */
    val server = ForwardServer(clock, deps.scope, times, ::send, run)

    /** Starts receiving messages. */
    fun start() {
        node.handle(Channel.FORWARD) { from, payload ->
            try {
                receive(from, decodeWire<ForwardMessage>(payload))
            } catch (e: SerializationException) {
                log.warn("Dropped a forwarding message from {} that can't be decoded: {}", from, e.message)
                null
            }
        }
    }

    /** Returns the journal of [request] at [vm]; empty if [vm] does not answer within the timeout. */
    suspend fun journalAt(vm: VmId, request: RequestId): List<JournalEntry> {
        val query = encodeWire<ForwardMessage>(ForwardMessage.JournalQuery(request))
        return node.call(vm, Channel.FORWARD, query, JOURNAL_TIMEOUT_MS)?.let { decodeWire(it) } ?: emptyList()
    }

    private fun receive(from: VmId, message: ForwardMessage): ByteArray? {
        when (message) {
            is ForwardMessage.JournalQuery -> return encodeWire(deps.journal.entriesOf(message.request))
            is ForwardMessage.Open, is ForwardMessage.Ack, is ForwardMessage.Cancel -> server.receive(from, message)
            is ForwardMessage.Answers -> client.receive(message.session, message)
            is ForwardMessage.KeepAlive -> client.receive(message.session, message)
            is ForwardMessage.UnknownSession -> client.receive(message.session, message)
        }
        return null
    }

    private fun send(to: VmId, message: ForwardMessage) =
        node.send(to, Channel.FORWARD, encodeWire<ForwardMessage>(message))

    private companion object {
        const val JOURNAL_TIMEOUT_MS = 1_000L
    }
}
