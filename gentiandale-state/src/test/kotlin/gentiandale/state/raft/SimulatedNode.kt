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

/** One VM of a [Simulation] with a disk in memory. It can crash, freeze and lose its disk. */
class SimulatedNode(val vm: VmId, private val simulation: Simulation, private val random: Random) {
    val folder = MemoryFolder()
    private var replica: Replica? = null
    private var life = 0
    private var frozenUntilMs = 0L
    private var flushing = false
    private var revision = 0L

    val isUp: Boolean get() = replica != null
    val status: ReplicaStatus? get() = replica?.status
    val configuration: Configuration? get() = replica?.store?.configuration()

    fun start() {
        if (replica != null) return
        life++
        revision = 0
        val opening = DurableLog.open(folder, SEGMENT_BYTES) { VoterId("$vm-${random.nextInt(1_000_000)}") }
        check(opening is LogOpenResult.Opened) { "$vm: ${(opening as LogOpenResult.Refused).reason}" }
        replica = Replica(
            vm,
            simulation.initial,
            opening.log,
            opening.state,
            ReplicaSettings(snapshotEntries = 20, keptEntries = 5, voterReplacement = simulation.automatic),
            random,
            simulation.time.nowMs,
        ) { to, message -> simulation.deliver(vm, to) { it.receive(vm, message) } }
        if (simulation.automatic != null) replica?.contacts = simulation.nodes.map { it.vm }.toSet()
        scheduleTick(life)
    }

    /** Kills the process; the machine loses what was not synced. */
    fun crash() {
        replica = null
        life++
        folder.crash(random)
    }

    /** Makes an operation of the disk fail soon, which ends the process. */
    fun failDisk() {
        if (isUp) folder.failAt = folder.operations + random.nextInt(1, 12)
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

    fun replaceVoter(wish: VoterReplacement, done: (VoterOutcome) -> Unit) = whenAwake { it.replaceVoter(wish, done) }

    private fun whenAwake(action: (Replica) -> Unit) {
        val born = life
        val waitMs = frozenUntilMs - simulation.time.nowMs
        if (waitMs > 0) {
            simulation.time.after(waitMs) { if (life == born) whenAwake(action) }
            return
        }
        val running = replica ?: return
        action(running)
        if (flushing) return
        flushing = true
        simulation.time.after(random.nextLong(0, 3)) { flush(born) }
    }

    private fun flush(born: Int) {
        flushing = false
        val running = replica ?: return
        if (life != born) return
        try {
            running.flush()
            observe(running)
        } catch (_: IOException) {
            crash()
            simulation.time.after(RESTART_MS) { start() }
        }
    }

    private fun observe(running: Replica) {
        val present = running.store.configuration()
        check(present.revision >= revision) { "$vm went back from $revision to ${present.revision}." }
        revision = present.revision
        simulation.observe(present)
    }

    private fun scheduleTick(born: Int) {
        if (life != born) return
        whenAwake { it.tick(simulation.time.nowMs) }
        simulation.time.after(TICK_MS) { scheduleTick(born) }
    }

    private companion object {
        const val SEGMENT_BYTES = 2_000L
        const val TICK_MS = 20L
        const val RESTART_MS = 500L
    }
}
