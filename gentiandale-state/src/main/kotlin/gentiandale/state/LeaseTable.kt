package gentiandale.state

import gentiandale.core.FencingNumber
import gentiandale.core.VmId
import kotlinx.serialization.Serializable

/** Lease with its fencing token and its expiry time [endsMs], in milliseconds of the store's clock. */
@Serializable
public data class Lease(val holder: VmId, val fencing: FencingNumber, val endsMs: Long)

/** Leases by name. Expired leases are kept, so that fencing tokens increase monotonically. */
internal class LeaseTable {
    private val leases = sortedMapOf<String, Lease>()

    fun acquire(command: StoreCommand.AcquireLease, nowMs: Long): StoreReply {
        val current = leases[command.name]
        val active = current != null && current.endsMs > nowMs
        if (current != null && active && current.holder != command.holder) {
            return StoreReply.LeaseTaken(current.holder, current.endsMs - nowMs)
        }
        val lastFencing = current?.fencing ?: FencingNumber(0)
        val fencing = if (active) lastFencing else FencingNumber(lastFencing.value + 1)
        leases[command.name] = Lease(command.holder, fencing, nowMs + command.ttlMs)
        return StoreReply.LeaseHeld(fencing)
    }

    fun save(): Map<String, Lease> = LinkedHashMap(leases)

    fun load(saved: Map<String, Lease>) {
        leases.clear()
        leases.putAll(saved)
    }
}
