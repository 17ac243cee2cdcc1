package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.BackendTable
import gentiandale.core.backend.ServerLoad
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import gentiandale.state.Document

/** Sends [message] to a VM. It may get lost. */
public fun interface FleetSender {
    /** Sends [message] to [to]. */
    public fun send(to: VmId, message: FleetMessage)
}

/**
 * What a control VM knows of backend servers, other control VMs and entry VMs, and tells them. Changes are told at
 * once; digests and versions in the regular messages mend what got lost. It is used by one thread.
 *
 * @param silenceMs time in milliseconds without a heartbeat after which a server counts as silent.
 */
public class ControlHub(
    private val self: VmId,
    private val clock: Clock,
    private val sender: FleetSender,
    private val log: EventLog,
    private val silenceMs: Long,
) {
    private class Entry(var version: Long, var digest: Long, var heardMs: Long, var wholeMs: Long = Long.MIN_VALUE / 2)

    private val roster = ControlRoster(self, log)
    private val table = BackendTable()
    private val heardMs = HashMap<ServerId, Long>()
    private val entries = HashMap<VmId, Entry>()
    private val controls = HashMap<VmId, Entry>()
    private val board = LoadBoard()
    private val suspects = SuspectBoard()
    private var isBoardChanged = false
    private var toldLoads = emptyList<ServerLoad>()
    private var toldLoadsMs = Long.MIN_VALUE / 2
    private var fetchedMs = Long.MIN_VALUE / 2

    /** The accepted configuration of the highest version that this VM knows. */
    public var document: Document? = null
        private set

    /** Other control VMs that are known. */
    public val others: Set<VmId> get() = roster.all

    /** Number of entry VMs heard of lately. */
    public val entryCount: Int get() = entries.size

    /** Number of backend servers that are known and have not ended. */
    public val serverCount: Int get() = table.all.count { it.state != BackendState.GONE }

    /** Returns the engines of the service [name] with the load of all entry VMs, each with [memoryTokens] of memory. */
    public fun engines(name: ServiceName, memoryTokens: Int): List<EngineUse> {
        val fresh = clock.monotonicMs() - toldLoadsMs < TOLD_LOADS_MS
        val loads = board.sums.ifEmpty { if (fresh) toldLoads else emptyList() }.associateBy { it.id }
        return table.all.filter { it.service == name && it.state != BackendState.GONE }
            .map { EngineUse(it, loads[it.id] ?: ServerLoad(it.id), memoryTokens) }
    }

    /** Sets the control VMs that settings name. */
    public fun setSeeds(seeds: Set<VmId>) {
        roster.seeds = seeds
    }

    /** Takes what a backend server says of itself and tells all others. */
    public fun onHeartbeat(row: BackendRow) {
        val changed = take(row, "heartbeat")
        val news = FleetMessage.Servers(listOf(row))
        roster.all.forEach { sender.send(it, news) }
        tellEntries(changed)
    }

    /** Returns what is known of the server [id], or null. */
    public fun find(id: ServerId): BackendRow? = table[id]

    /** Takes an accepted configuration. */
    public fun onDocument(accepted: Document) {
        if (accepted.version <= (document?.version ?: 0)) return
        document = accepted
        val notice = notice()
        entries.keys.forEach { sender.send(it, notice) }
        greetAll()
    }

    /** Handles [message] of the VM [from]. */
    public fun receive(from: VmId, message: FleetMessage) {
        val now = clock.monotonicMs()
        when (message) {
            is FleetMessage.Subscribe -> onSubscribe(from, message, now)
            is FleetMessage.Greet -> onGreet(from, message, now)
            is FleetMessage.Servers -> tellEntries(message.rows.flatMap { take(it, from.value) })
            is FleetMessage.Fetch -> {
                document?.takeIf { it.version > message.above }
                    ?.let { sender.send(from, FleetMessage.Configuration(it)) }
            }
            is FleetMessage.Configuration -> onDocument(message.document)
            is FleetMessage.OwnLoad -> {
                board.report(from, message.loads)
                isBoardChanged = true
                if (message.question > 0) {
                    sender.send(from, FleetMessage.OtherLoad(board.newsFor(from, all = false), message.question))
                }
            }
            is FleetMessage.Suspect -> {
                if (suspects.report(message.server, from, now)) tellPause(message.server, SuspectBoard.PAUSE_MS)
            }
            is FleetMessage.Notice, is FleetMessage.OtherLoad, is FleetMessage.Pause -> Unit
        }
    }

    /** Sends the regular messages and notes who has become silent. It is called every [TICK_MS] milliseconds. */
    public fun tick() {
        val now = clock.monotonicMs()
        roster.tick(now)
        entries.filterValues { now - it.heardMs > ENTRY_LOST_MS }.keys.forEach { vm ->
            entries -= vm
            board.forget(vm)
        }
        suspects.tick(now)
        tellLoads(all = true)
        greetAll()
        tellEntries(markSilent(now))
        forgetEnded(now)
    }

    /** Tells entry VMs of changed loads. It is called every [LOAD_TICK_MS] milliseconds. */
    public fun tickLoads() {
        if (isBoardChanged) tellLoads(all = false)
    }

    /** Tells entry VMs that the engine [server] takes nothing for [forMs] milliseconds. */
    public fun tellPause(server: ServerId, forMs: Long) {
        val news = FleetMessage.Pause(server, forMs)
        entries.keys.forEach { sender.send(it, news) }
    }

    private fun tellLoads(all: Boolean) {
        isBoardChanged = false
        entries.keys.forEach { vm ->
            val news = board.newsFor(vm, all)
            if (news.isNotEmpty()) sender.send(vm, FleetMessage.OtherLoad(news))
        }
    }

    private fun onSubscribe(from: VmId, message: FleetMessage.Subscribe, now: Long) {
        val entry = entries.getOrPut(from) { Entry(0, 0, now) }
        entry.heardMs = now
        entry.version = message.version
        sender.send(from, notice())
        sendWhole(from, entry, message.digest, now)
    }

    private fun onGreet(from: VmId, message: FleetMessage.Greet, now: Long) {
        roster.onHeard(from, message.controls, now)
        if (message.loads.isNotEmpty()) {
            toldLoads = message.loads
            toldLoadsMs = now
        }
        val control = controls.getOrPut(from) { Entry(0, 0, now) }
        sendWhole(from, control, message.digest, now)
        if (message.version > (document?.version ?: 0) && now - fetchedMs > FETCH_MS) {
            fetchedMs = now
            sender.send(from, FleetMessage.Fetch(document?.version ?: 0))
        }
    }

    /** Sends all rows to [to] if its digest is another one, but not too often: two VMs may differ for long. */
    private fun sendWhole(to: VmId, entry: Entry, digest: Long, now: Long) {
        if (digest == table.digest() || now - entry.wholeMs < WHOLE_MS || table.all.isEmpty()) return
        entry.wholeMs = now
        sender.send(to, FleetMessage.Servers(table.all.toList()))
    }

    private fun take(row: BackendRow, source: String): List<BackendRow> {
        val known = table[row.id]
        if (known == null || row.isNewerThan(known)) heardMs[row.id] = clock.monotonicMs()
        return table.merge(row).onEach { log.write(FleetEvent.ServerChanged(it, source)) }
    }

    private fun tellEntries(changed: List<BackendRow>) {
        if (changed.isEmpty()) return
        val news = FleetMessage.Servers(changed)
        entries.keys.forEach { sender.send(it, news) }
    }

    private fun greetAll() {
        val now = clock.monotonicMs()
        val greeting = FleetMessage.Greet(document?.version ?: 0, table.digest(), roster.heard(now), board.sums)
        roster.all.forEach { sender.send(it, greeting) }
    }

    private fun notice() =
        FleetMessage.Notice(document?.version ?: 0, roster.heard(clock.monotonicMs()) + self, entries.size)

    private fun markSilent(now: Long): List<BackendRow> = table.all
        .filter { !it.silent && it.state != BackendState.GONE && now - (heardMs[it.id] ?: now) > silenceMs }
        .map { it.copy(silent = true) }
        .onEach {
            table.replace(it)
            log.write(FleetEvent.ServerChanged(it, "no heartbeat"))
        }

    private fun forgetEnded(now: Long) {
        val old = table.all.filter {
            (it.silent || it.state == BackendState.GONE) &&
                now - (heardMs[it.id] ?: 0) > KEEP_MS
        }
        old.forEach {
            table.remove(it.id)
            heardMs.remove(it.id)
        }
    }

    /** Holds intervals. */
    public companion object {
        /** Interval of [tick] in milliseconds: several of them fit in the time in which a change must be in force. */
        public const val TICK_MS: Long = 500

        /** Interval of [tickLoads] in milliseconds: shorter than most times between two requests for an engine. */
        public const val LOAD_TICK_MS: Long = 30

        /** Loads that another control VM told are too old after this time. */
        private const val TOLD_LOADS_MS = 1_500L

        /** An entry VM that has said nothing for this long does not share budgets any more. */
        private const val ENTRY_LOST_MS = 3_000L

        /** Least time between two whole tables to the same VM. */
        private const val WHOLE_MS = 2_000L

        /** A fetch that got no answer is repeated after this time. */
        private const val FETCH_MS = 300L

        /** Longest delay of a heartbeat from a server that has ended; until then a tombstone has to be kept. */
        private const val KEEP_MS = 120_000L
    }
}
