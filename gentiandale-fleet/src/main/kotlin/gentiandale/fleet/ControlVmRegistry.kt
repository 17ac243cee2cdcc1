package gentiandale.fleet

import gentiandale.core.VmId
import gentiandale.core.log.EventLog

/**
 * Control VMs known to this VM. Seeds are always contacted; others are kept while they send messages or are listed in
 * messages of other control VMs.
 *
 * @param self this VM, which is never part of the registry.
 */
internal class ControlVmRegistry(private val self: VmId, private val log: EventLog) {
    private class Peer(var lastMessageMs: Long?, var listedMs: Long, var isLost: Boolean = false)

    private val peers = HashMap<VmId, Peer>()

    /** Control VMs listed in the settings. */
    var seeds: Set<VmId> = emptySet()

    /** Control VMs to send messages to. */
    val all: Set<VmId> get() = (seeds + peers.keys) - self

    /** Returns the VMs that have sent a message in the last [LOST_MS] milliseconds. */
    fun reachable(nowMs: Long): List<VmId> =
        peers.filterValues { peer -> peer.lastMessageMs?.let { nowMs - it < LOST_MS } ?: false }.keys.toList()

    /** Records a message from [vm] that lists the control VMs [listed]. */
    fun onMessage(vm: VmId, listed: List<VmId>, nowMs: Long) {
        val entry = peers.getOrPut(vm) { Peer(null, nowMs) }
        val before = entry.lastMessageMs
        if (before == null || entry.isLost) log.write(FleetLogEvent.ControlReachable(vm, before?.let { nowMs - it }))
        entry.lastMessageMs = nowMs
        entry.isLost = false
        listed.filter { it != self }.forEach { other ->
            peers.getOrPut(other) { Peer(null, nowMs) }.listedMs = nowMs
        }
    }

    /** Logs VMs that have become silent, and removes those that have not sent a message or been listed for long. */
    fun tick(nowMs: Long) {
        peers.forEach { (vm, entry) ->
            val silentMs = entry.lastMessageMs?.let { nowMs - it } ?: 0
            if (silentMs >= LOST_MS && !entry.isLost) {
                entry.isLost = true
                log.write(FleetLogEvent.ControlLost(vm, silentMs))
            }
        }
        peers.values.removeIf { nowMs - maxOf(it.lastMessageMs ?: 0, it.listedMs) > FORGET_MS }
    }

    private companion object {
        /** Four message intervals. */
        const val LOST_MS = 2_000L

        /** A VM that was unreachable for longer is found again through the seeds. */
        const val FORGET_MS = 60_000L
    }
}
