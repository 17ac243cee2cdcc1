package gentiandale.fleet

import gentiandale.core.FencingNumber
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.log.LogEvent
import gentiandale.core.log.LogLine

/** Changes of what a VM believes of the others. */
public sealed class FleetEvent(override val name: String) : LogEvent {
    override val part: String get() = "fleet"

    /** A row of a backend server changed, as [source] said. */
    public class ServerChanged(private val row: BackendRow, private val source: String) : FleetEvent("server") {
        override fun describe(line: LogLine) {
            line.field("server", row.id.value).field("incarnation", row.incarnation.value).field("seq", row.sequence)
                .field("service", row.service.value).field("address", row.address.toString())
                .field("data_centre", row.dataCentre.value).field("kind", row.kind.name.lowercase())
                .field("state", row.state.name.lowercase()).field("silent", row.silent).field("source", source)
        }
    }

    /** The configuration [version] came into force here, fetched from [source]. */
    public class ConfigurationInForce(
        private val version: Long,
        private val before: Long?,
        private val routes: Int,
        private val source: String,
    ) : FleetEvent("configuration") {
        override fun describe(line: LogLine) {
            line.field("version", version).field("before", before).field("routes", routes).field("source", source)
        }
    }

    /** A configuration can't be used. */
    public class ConfigurationUnusable(private val version: Long, private val reason: String) :
        FleetEvent("configuration-unusable") {
        override fun describe(line: LogLine) {
            line.field("version", version).field("reason", reason)
        }
    }

    /** Nothing has been heard of the control VM [vm] for [silentMs] milliseconds. */
    public class ControlLost(private val vm: VmId, private val silentMs: Long) : FleetEvent("control-lost") {
        override fun describe(line: LogLine) {
            line.field("vm", vm.value).field("silent_ms", silentMs)
        }
    }

    /** The control VM [vm] is heard again, or for the first time. */
    public class ControlHeard(private val vm: VmId, private val goneMs: Long?) : FleetEvent("control-heard") {
        override fun describe(line: LogLine) {
            line.field("vm", vm.value).field("gone_ms", goneMs)
        }
    }

    /** The data folder can't be used; it is opened again after a pause. */
    public class StoreFailed(private val reason: String) : FleetEvent("store-failed") {
        override fun describe(line: LogLine) {
            line.field("reason", reason)
        }
    }

    /** The data folder was opened. */
    public class StoreOpened(private val entries: Long) : FleetEvent("store-opened") {
        override fun describe(line: LogLine) {
            line.field("applied", entries)
        }
    }

    /** An engine was ordered to change its stage; [status] is its answer, null if none came. */
    public class StageOrdered(
        private val change: StageChange,
        private val fencing: FencingNumber,
        private val status: Int?,
    ) : FleetEvent("stage-order") {
        override fun describe(line: LogLine) {
            line.field("server", change.server.id.value).field("stage", change.stage.name.lowercase())
                .field("reason", change.reason).field("fencing", fencing.value).field("status", status)
        }
    }

    /** An operator's configuration was taken, or not. */
    public class PutDecided(
        private val version: Long?,
        private val outcome: String,
        private val reason: String?,
        private val elapsedMs: Long,
    ) : FleetEvent("put") {
        override fun describe(line: LogLine) {
            line.field("version", version).field("outcome", outcome).field("reason", reason)
                .field("elapsed_ms", elapsedMs)
        }
    }

    /** An operator's read was refused, since [present], the version that is here, may not be the [current] one. */
    public class ReadRefused(
        private val current: Long?,
        private val present: Long?,
        private val reason: String,
    ) : FleetEvent("read-refused") {
        override fun describe(line: LogLine) {
            line.field("current", current).field("present", present).field("reason", reason)
        }
    }
}
