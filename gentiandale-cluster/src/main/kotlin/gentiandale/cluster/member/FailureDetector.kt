package gentiandale.cluster.member

import gentiandale.cluster.ClusterTimes
import gentiandale.core.VmId
import gentiandale.core.VmState
import kotlin.random.Random

/** Action that the [FailureDetector] requests from its caller. */
internal sealed interface DetectorAction {
    /** Send a ping with [sequence] to [target]. */
    data class Ping(val target: VmId, val sequence: Long) : DetectorAction

    /** Ask [via] to ping [target]; the acknowledgement carries [sequence]. */
    data class IndirectPing(val via: VmId, val target: VmId, val sequence: Long) : DetectorAction

    /** Mark [vm] as suspected: it answered neither the direct nor the indirect pings of a probe. */
    data class Suspected(val vm: VmId) : DetectorAction

    /** Mark [vm] as dead: it did not refute the suspicion in time, or a probe confirmed a reported failure. */
    data class Failed(val vm: VmId) : DetectorAction
}

private class Probe(
    val sequence: Long,
    val startMs: Long,
    var reportedDead: Boolean,
    var pingedIndirectly: Boolean = false,
)

/**
 * Failure detector in the manner of SWIM: probes one VM each period, first directly and then through other VMs. A VM
 * that does not answer is suspected before it is declared dead. A failure reported by another VM only starts a probe;
 * otherwise a VM that can send but not receive could have reachable VMs declared dead.
 */
internal class FailureDetector(
    private val table: MemberTable,
    private val times: ClusterTimes,
    private val random: Random,
    private var sequence: Long,
) {
    private val probes = HashMap<VmId, Probe>()
    private val suspicionDeadlines = HashMap<VmId, Long>()
    private val probeQueue = ArrayDeque<VmId>()
    private var nextProbeMs = 0L
    private var nextReconnectMs = 0L
    private var nextSuspectProbeMs = 0L

    /** Returns the actions that are due at [now]. */
    fun tick(now: Long): List<DetectorAction> = buildList {
        expireProbes(now)
        startIndirectPings(now)
        if (now >= nextProbeMs) {
            nextProbeMs = now + times.probePeriodMs
            nextTarget()?.let { startProbe(it, now) }
        }
        if (now >= nextSuspectProbeMs) {
            nextSuspectProbeMs = now + times.probePeriodMs
            suspicionDeadlines.keys.toList().forEach { startProbe(it, now) }
        }
        if (now >= nextReconnectMs) {
            nextReconnectMs = now + times.reconnectPeriodMs
            pingDeadVm()
        }
        expireSuspicions(now)
    }

    /** Probes [vm], reported as failed by another VM. With [reportedDead] an unanswered probe skips the suspicion. */
    fun verify(vm: VmId, reportedDead: Boolean, now: Long): List<DetectorAction> = buildList {
        startProbe(vm, now, reportedDead)
    }

    /** Ends the running probe of [vm], which has answered. */
    fun answered(vm: VmId) {
        probes.remove(vm)
    }

    /** Ends the probe and the suspicion of [vm], which has refuted it. */
    fun clearSuspicion(vm: VmId) {
        probes.remove(vm)
        suspicionDeadlines.remove(vm)
    }

    /** Drops running probes and extends suspicions after a pause of the process of [pauseMs] milliseconds. */
    fun resume(now: Long, pauseMs: Long) {
        probes.clear()
        suspicionDeadlines.replaceAll { _, deadline -> deadline + pauseMs }
        nextProbeMs = now
    }

    private fun MutableList<DetectorAction>.expireProbes(now: Long) {
        val expired = probes.filterValues { now - it.startMs >= times.probePeriodMs }
        expired.forEach { (vm, probe) ->
            probes.remove(vm)
            val row = table[vm] ?: return@forEach
            when {
                !row.isPresent -> Unit
                probe.reportedDead -> {
                    suspicionDeadlines.remove(vm)
                    add(DetectorAction.Failed(vm))
                }
                row.state == VmState.ALIVE -> {
                    suspicionDeadlines[vm] = now + times.suspicionMs(table.presentPeers().size + 1)
                    add(DetectorAction.Suspected(vm))
                }
            }
        }
    }

    private fun MutableList<DetectorAction>.startIndirectPings(now: Long) {
        probes.forEach { (vm, probe) ->
            if (probe.pingedIndirectly || now - probe.startMs < times.directTimeoutMs) return@forEach
            probe.pingedIndirectly = true
            val relays = table.presentPeers().filter { it.vm != vm && it.state == VmState.ALIVE }
            relays.shuffled(random).take(times.indirectProbes).forEach {
                add(DetectorAction.IndirectPing(it.vm, vm, probe.sequence))
            }
        }
    }

    private fun MutableList<DetectorAction>.expireSuspicions(now: Long) {
        val expired = suspicionDeadlines.filterValues { it <= now }.keys.toList()
        expired.forEach {
            suspicionDeadlines.remove(it)
            if (table[it]?.state == VmState.SUSPECT) add(DetectorAction.Failed(it))
        }
    }

    private fun MutableList<DetectorAction>.startProbe(vm: VmId, now: Long, reportedDead: Boolean = false) {
        val running = probes[vm]
        if (running != null) {
            running.reportedDead = running.reportedDead || reportedDead
            return
        }
        val probe = Probe(++sequence, now, reportedDead)
        probes[vm] = probe
        add(DetectorAction.Ping(vm, probe.sequence))
    }

    private fun MutableList<DetectorAction>.pingDeadVm() {
        val dead = table.all.filter { it.state == VmState.DEAD }
        if (dead.isNotEmpty()) add(DetectorAction.Ping(dead.random(random).vm, ++sequence))
    }

    private fun nextTarget(): VmId? {
        while (true) {
            val next = probeQueue.removeFirstOrNull() ?: break
            if (table[next]?.isPresent == true) return next
        }
        probeQueue += table.presentPeers().map { it.vm }.shuffled(random)
        return probeQueue.removeFirstOrNull()
    }
}
