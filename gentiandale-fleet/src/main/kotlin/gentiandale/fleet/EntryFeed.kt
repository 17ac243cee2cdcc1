package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.ServerLoad
import gentiandale.core.log.EventLog
import gentiandale.state.Document

/** What an entry VM does with the news of the control VMs. */
public interface FeedReceiver {
    /** Version of the configuration in force; 0 for none. */
    public val version: Long

    /** Digest of the known backend servers. */
    public val digest: Long

    /** Takes the configuration [document]; returns whether it came into force. */
    public fun use(document: Document, source: VmId): Boolean

    /** Takes what is known of a server and returns the rows that changed. */
    public fun merge(row: BackendRow): List<BackendRow>

    /** Takes the number of entry VMs. */
    public fun onEntryCount(count: Int)

    /** Load that this VM has placed on engines. */
    public val ownLoad: List<ServerLoad>

    /** Notes that the engine [server] takes nothing for [forMs] milliseconds. */
    public fun onPause(server: ServerId, forMs: Long)

    /** Takes the load of the other entry VMs. */
    public fun onOtherLoad(loads: List<ServerLoad>)
}

/**
 * Keeps an entry VM up to date: it talks to every control VM that it knows, so that one that can reach it and the
 * majority is enough. It is used by one thread.
 */
public class EntryFeed(
    self: VmId,
    private val clock: Clock,
    private val sender: FleetSender,
    private val receiver: FeedReceiver,
    private val log: EventLog,
) {
    private val roster = ControlRoster(self, log)
    private val startedMs = clock.monotonicMs()
    private var fetchedMs = Long.MIN_VALUE / 2
    private var heardMs: Long? = null
    private var rowsMs: Long? = null
    private var reportedTo: VmId? = null
    private var reportedAny = false
    private var questions = 0L
    private val open = ArrayList<Question>()

    private class Question(val number: Long, val done: () -> Unit)

    /** Time in milliseconds since a control VM was heard last; null if none ever was. */
    public val ageMs: Long? get() = heardMs?.let { clock.monotonicMs() - it }

    /** Whether the servers are known about as well as they will be soon after a start. */
    public val isSettled: Boolean
        get() = rowsMs != null || clock.monotonicMs() - startedMs > SETTLE_MS

    /** Sets the control VMs that settings name. */
    public fun setSeeds(seeds: Set<VmId>) {
        roster.seeds = seeds
    }

    /** Sends the regular messages. It is called every [ControlHub.TICK_MS] milliseconds. */
    public fun tick() {
        roster.tick(clock.monotonicMs())
        val message = FleetMessage.Subscribe(receiver.version, receiver.digest)
        roster.all.forEach { sender.send(it, message) }
        reportLoad()
    }

    /**
     * Tells the load at once, and calls [done] when the load is known that others had told before. The control VM hears
     * one VM after the other, so of two that choose the same engine at the same time the second one knows of the first.
     */
    public fun confirmLoad(done: () -> Unit) {
        questions++
        open += Question(questions, done)
        reportLoad(questions)
        if (reportedTo == null) answer(questions)
    }

    private fun answer(question: Long) {
        val answered = open.filter { it.number <= question }
        open -= answered.toSet()
        answered.forEach { it.done() }
    }

    /** Tells the other entry VMs what this one has placed, by way of the same control VM for all of them. */
    public fun reportLoad(): Unit = reportLoad(question = 0)

    private fun reportLoad(question: Long) {
        val keeper = roster.heard(clock.monotonicMs()).minOrNull() ?: return
        val loads = receiver.ownLoad
        if (loads.isEmpty() && keeper == reportedTo && !reportedAny) return
        reportedTo?.takeIf { it != keeper }?.let { sender.send(it, FleetMessage.OwnLoad(emptyList())) }
        reportedTo = keeper
        reportedAny = loads.isNotEmpty()
        sender.send(keeper, FleetMessage.OwnLoad(loads, question))
    }

    /** Tells the other entry VMs that [server] does not answer this one. */
    public fun reportSuspect(server: ServerId) {
        reportedTo?.let { sender.send(it, FleetMessage.Suspect(server)) }
    }

    /** Handles [message] of the control VM [from]. */
    public fun receive(from: VmId, message: FleetMessage) {
        val now = clock.monotonicMs()
        when (message) {
            is FleetMessage.Notice -> onNotice(from, message, now)
            is FleetMessage.Configuration -> onConfiguration(from, message.document)
            is FleetMessage.Servers -> onServers(from, message.rows, now)
            is FleetMessage.OtherLoad -> if (from == reportedTo) onOtherLoad(message)
            is FleetMessage.Pause -> receiver.onPause(message.server, message.forMs)
            is FleetMessage.Subscribe, is FleetMessage.Greet, is FleetMessage.Fetch, is FleetMessage.OwnLoad -> Unit
            is FleetMessage.Suspect -> Unit
        }
    }

    private fun onOtherLoad(message: FleetMessage.OtherLoad) {
        receiver.onOtherLoad(message.loads)
        answer(message.answered)
    }

    private fun onNotice(from: VmId, notice: FleetMessage.Notice, now: Long) {
        heardMs = now
        roster.onHeard(from, notice.controls, now)
        receiver.onEntryCount(notice.entries)
        if (notice.version > receiver.version && now - fetchedMs > FETCH_MS) {
            fetchedMs = now
            sender.send(from, FleetMessage.Fetch(receiver.version))
        }
    }

    private fun onConfiguration(from: VmId, document: Document) {
        fetchedMs = Long.MIN_VALUE / 2
        if (document.version > receiver.version) receiver.use(document, from)
    }

    private fun onServers(from: VmId, rows: List<BackendRow>, now: Long) {
        rowsMs = now
        rows.forEach { row ->
            receiver.merge(row).forEach { log.write(FleetEvent.ServerChanged(it, from.value)) }
        }
    }

    private companion object {
        /** A fetch that got no answer is repeated at another VM after this time. */
        const val FETCH_MS = 200L

        /** Servers send a heartbeat about every second; after two of them all that can be known is known. */
        const val SETTLE_MS = 2_500L
    }
}
