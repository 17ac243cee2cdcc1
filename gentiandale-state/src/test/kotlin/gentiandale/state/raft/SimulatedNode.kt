package gentiandale.state.raft

import gentiandale.core.Configuration
import gentiandale.core.VmId
import gentiandale.state.StoreCommand
import gentiandale.state.SubmitOutcome
import gentiandale.state.log.DurableLog
import gentiandale.state.log.LogOpenResult
import gentiandale.state.log.MemoryFolder
import java.io.IOException
import kotlin.random.Random

/** VM of a [Simulation] with an in-memory disk. It can crash, freeze and lose its disk. */
class SimulatedNode(val vm: VmId, private val simulation: Simulation, private val random: Random) {
    val folder = MemoryFolder()
    private var replica: Replica? = null
    private var incarnation = 0
    private var frozenUntilMs = 0L
    private var flushing = false
    private var revision = 0L
    private var startedMs = 0L

    val isUp: Boolean get() = replica != null

    /** Time in milliseconds since the last start; 0 if the VM is down. */
    val upMs: Long get() = if (isUp) simulation.time.nowMs - startedMs else 0
    val status: ReplicaStatus? get() = replica?.status
    val configuration: Configuration? get() = replica?.store?.configuration()

    fun start() {
        if (replica != null) return
        incarnation++
        startedMs = simulation.time.nowMs
        revision = 0
        val opening = DurableLog.open(folder, SEGMENT_BYTES) { VoterId("$vm-${random.nextInt(1_000_000)}") }
        check(opening is LogOpenResult.Opened) { "Data folder of $vm: ${(opening as LogOpenResult.Refused).reason}" }
        replica = Replica(
            vm,
            simulation.initial,
            opening.log,
            opening.state,
            ReplicaSettings(
                snapshotEntries = 20,
                keptEntries = 5,
                formation = if (incarnation == 1) simulation.formation else simulation.laterFormation,
                voterReplacement = simulation.replacementPolicy,
            ),
            random,
            simulation.time.nowMs,
        ) { to, message -> simulation.deliver(vm, to) { it.receive(vm, message) } }
        if (simulation.replacementPolicy != null) replica?.contacts = simulation.nodes.map { it.vm }.toSet()
        scheduleTick(incarnation)
    }

    /** Crashes the machine, which loses all unsynced writes. */
    fun crash() {
        replica = null
        incarnation++
        folder.crash(random)
    }

    /** Makes one of the next disk operations fail, which ends the process. */
    fun failDisk() {
        if (isUp) folder.failAtOperation = folder.operations + random.nextInt(1, 12)
    }

    fun loseDisk() {
        crash()
        folder.wipe()
    }

    fun freeze(ms: Long) {
        frozenUntilMs = simulation.time.nowMs + ms
    }

    fun receive(from: VmId, message: AgreementMessage) = whenAwake { it.receive(from, message, simulation.time.nowMs) }

    fun submit(command: StoreCommand, done: (SubmitOutcome) -> Unit) =
        whenAwake { it.submit(command, simulation.time.nowMs, simulation.time.nowMs, done) }

    fun replaceVoter(plan: VoterReplacement, done: (VoterOutcome) -> Unit) = whenAwake { it.replaceVoter(plan, done) }

    private fun whenAwake(action: (Replica) -> Unit) {
        val startedIn = incarnation
        val waitMs = frozenUntilMs - simulation.time.nowMs
        if (waitMs > 0) {
            simulation.time.after(waitMs) { if (incarnation == startedIn) whenAwake(action) }
            return
        }
        val running = replica ?: return
        action(running)
        if (flushing) return
        flushing = true
        simulation.time.after(random.nextLong(0, 3)) { flush(startedIn) }
    }

    private fun flush(startedIn: Int) {
        flushing = false
        val running = replica ?: return
        if (incarnation != startedIn) return
        try {
            running.flush()
            checkRevision(running)
        } catch (_: IOException) {
            crash()
            simulation.time.after(RESTART_MS) { start() }
        }
    }

    private fun checkRevision(running: Replica) {
        val current = running.store.configuration()
        check(current.revision >= revision) { "$vm went back from revision $revision to ${current.revision}." }
        revision = current.revision
        simulation.checkConfiguration(current)
    }

    private fun scheduleTick(startedIn: Int) {
        if (incarnation != startedIn) return
        whenAwake { it.tick(simulation.time.nowMs) }
        simulation.time.after(TICK_MS) { scheduleTick(startedIn) }
    }

    private companion object {
        const val SEGMENT_BYTES = 2_000L
        const val TICK_MS = 20L
        const val RESTART_MS = 500L
    }
}
