package gentiandale.daemon.forward

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.Completion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.Flow
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Runs requests that other VMs forward to this one as the owner of their servers. */
internal class ForwardServer(
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val times: ForwardTimes,
    private val send: (VmId, ForwardMessage) -> Unit,
    private val run: (Completion) -> Flow<Answer>,
) {
    private val log = LoggerFactory.getLogger("gentiandale.forward")
    private val sessions = ConcurrentHashMap<ForwardSessionId, OwnerSession>()
    private val endedSessions = object : LinkedHashMap<ForwardSessionId, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<ForwardSessionId, Unit>) = size > MAX_ENDED_SESSIONS
    }

    /** Number of open sessions. */
    val size: Int get() = sessions.size

    /** Handles a message from the entry VM [from]. */
    fun receive(from: VmId, message: ForwardMessage) {
        when (message) {
            is ForwardMessage.Open -> open(from, message)
            is ForwardMessage.Ack -> acknowledge(from, message)
            is ForwardMessage.Cancel -> cancel(message.session)
            else -> Unit
        }
    }

    private fun open(from: VmId, open: ForwardMessage.Open) {
        val existing = sessions[open.session]
        if (existing != null) return existing.renewLease()
        val session = OwnerSession(open.session, from, clock, times, { send(from, it) }, { end(open.session) })
        synchronized(endedSessions) {
            if (open.session in endedSessions || sessions.putIfAbsent(open.session, session) != null) return
        }
        log.info("Accepted request {} forwarded by {}: this VM owns the model's servers.", open.work.request, from)
        session.start(scope, run(open.work.toCompletion(clock)))
        send(from, ForwardMessage.KeepAlive(open.session))
    }

    private fun acknowledge(from: VmId, ack: ForwardMessage.Ack) {
        val session = sessions[ack.session]
        if (session != null) session.acknowledge(ack.next) else send(from, ForwardMessage.UnknownSession(ack.session))
    }

    private fun cancel(id: ForwardSessionId) {
        synchronized(endedSessions) { endedSessions[id] = Unit }
        sessions[id]?.cancel()
    }

    private fun end(id: ForwardSessionId) {
        synchronized(endedSessions) { endedSessions[id] = Unit }
        sessions.remove(id)
    }

    private companion object {
        const val MAX_ENDED_SESSIONS = 10_000
    }
}
