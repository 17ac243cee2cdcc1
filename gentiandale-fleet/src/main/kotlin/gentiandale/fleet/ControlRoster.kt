package gentiandale.fleet

import gentiandale.core.VmId
import gentiandale.core.log.EventLog

/**
 * The control VMs that one VM knows. Seeds are always tried; the others are kept while they are heard of.
 *
 * @param self this VM, which is never listed.
 */
internal class ControlRoster(private val self: VmId, private val log: EventLog) {
    private class Known(var heardMs: Long?, var mentionedMs: Long, var isLost: Boolean = false)

    private val known = HashMap<VmId, Known>()

    /** VMs that settings name. */
    var seeds: Set<VmId> = emptySet()

    /** VMs to talk to. */
    val all: Set<VmId> get() = (seeds + known.keys) - self

    /** Returns the VMs that were heard in the last [LOST_MS] milliseconds. */
    fun heard(nowMs: Long): List<VmId> =
        known.filterValues { known -> known.heardMs?.let { nowMs - it < LOST_MS } ?: false }.keys.toList()

    /** Notes a message of [vm], which knows of [others]. */
    fun onHeard(vm: VmId, others: List<VmId>, nowMs: Long) {
        val entry = known.getOrPut(vm) { Known(null, nowMs) }
        val before = entry.heardMs
        if (before == null || entry.isLost) log.write(FleetEvent.ControlHeard(vm, before?.let { nowMs - it }))
        entry.heardMs = nowMs
        entry.isLost = false
        others.filter { it != self }.forEach { other ->
            known.getOrPut(other) { Known(null, nowMs) }.mentionedMs = nowMs
        }
    }

    /** Drops VMs that nobody has heard of for long. */
    fun tick(nowMs: Long) {
        known.forEach { (vm, entry) ->
            val silentMs = entry.heardMs?.let { nowMs - it } ?: 0
            if (silentMs >= LOST_MS && !entry.isLost) {
                entry.isLost = true
                log.write(FleetEvent.ControlLost(vm, silentMs))
            }
        }
        known.values.removeIf { nowMs - maxOf(it.heardMs ?: 0, it.mentionedMs) > FORGET_MS }
    }

    private companion object {
        /** Four intervals of messages. */
        const val LOST_MS = 2_000L

        /** A VM that was cut off for this long comes back through the seeds. */
        const val FORGET_MS = 60_000L
    }
}
