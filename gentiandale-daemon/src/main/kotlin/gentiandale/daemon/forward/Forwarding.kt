package gentiandale.daemon.forward

import gentiandale.core.Clock
import gentiandale.core.Incarnation
import gentiandale.core.RequestId
import gentiandale.core.VmId
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.JournalEntry
import gentiandale.daemon.request.RequestDependencies
import gentiandale.daemon.request.Work
import gentiandale.wire.Channel
import gentiandale.wire.PeerNode
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/** Puts both sides of forwarding on the channel [Channel.FORWARD] of [node]. */
internal class Forwarding(
    private val node: PeerNode,
    incarnation: Incarnation,
    private val clock: Clock,
    private val parts: RequestDependencies,
    times: ForwardTimes,
    run: (Work) -> Flow<Answer>,
) {
    private val log = LoggerFactory.getLogger("gentiandale.forward")

    /** Side of the VM that callers call. */
    val client = ForwardClient(node.self, incarnation, clock, times, parts.counters, ::send)

    /** Side of the VM that decides. */
    val server = ForwardServer(clock, parts.scope, times, ::send, run)

    /** Begins to take messages. */
    fun start() {
        node.handle(Channel.FORWARD) { from, payload ->
            try {
                take(from, decodeWire<ForwardMessage>(payload))
            } catch (e: SerializationException) {
                log.warn("Dropped a message of {}. Why: {}", from, e.message)
                null
            }
        }
    }

    /** Asks [vm] for its journal of [request]. */
    suspend fun journalAt(vm: VmId, request: RequestId): List<JournalEntry> {
        val ask = encodeWire<ForwardMessage>(ForwardMessage.AskJournal(request))
        return node.call(vm, Channel.FORWARD, ask, JOURNAL_TIMEOUT_MS)?.let { decodeWire(it) } ?: emptyList()
    }

    private fun take(from: VmId, message: ForwardMessage): ByteArray? {
        when (message) {
            is ForwardMessage.AskJournal -> return encodeWire(parts.journal.of(message.request))
            is ForwardMessage.Open, is ForwardMessage.Ack, is ForwardMessage.Cancel -> server.take(from, message)
            is ForwardMessage.Answers -> client.take(message.leg, message)
            is ForwardMessage.Alive -> client.take(message.leg, message)
            is ForwardMessage.Gone -> client.take(message.leg, message)
        }
        return null
    }

    private fun send(to: VmId, message: ForwardMessage) =
        node.send(to, Channel.FORWARD, encodeWire<ForwardMessage>(message))

    private companion object {
        const val JOURNAL_TIMEOUT_MS = 1_000L
    }
}
