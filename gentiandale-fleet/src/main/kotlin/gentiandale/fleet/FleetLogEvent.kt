package gentiandale.fleet

import gentiandale.core.FencingNumber
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.LogEvent
import gentiandale.core.log.LogLine

/** Log events about servers, control VMs, the configuration and the data folder, as seen by one VM. */
public sealed class FleetLogEvent(override val name: String) : LogEvent {
    override val part: String get() = "fleet"

    /** The row of a backend server changed because of [source]. */
    public class ServerChanged(private val row: BackendRow, private val source: String) : FleetLogEvent("server") {
        override fun describe(line: LogLine) {
            line.field("server", row.id.value).field("incarnation", row.incarnation.value).field("seq", row.sequence)
                .field("service", row.service.value).field("address", row.address.toString())
                .field("data_centre", row.dataCentre.value).field("kind", row.kind.name.lowercase())
                .field("state", row.state.name.lowercase()).field("silent", row.silent)
                .field("software", row.software.value.ifEmpty { null }).field("source", source)
        }
    }

    /** The VM [source] has told something new about a crash of an engine; [crashes] are known in all. */
    public class CrashLearned(
        private val record: CrashRecord,
        private val source: String,
        private val crashes: Int,
    ) : FleetLogEvent("crash-learned") {
        override fun describe(line: LogLine) {
            line.field("server", record.id.server.value).field("incarnation_of_server", record.id.incarnation.value)
                .field("age_ms", record.ageMs).field("suspects", record.suspects.size)
                .field("cleared", record.cleared.size).field("crashes", crashes).field("source", source)
        }
    }

    /** The VM [source] has told that a server has named another request limit than before. */
    public class LimitChanged(private val statement: LimitStatement, private val source: String) :
        FleetLogEvent("limit") {
        override fun describe(line: LogLine) {
            line.field("server", statement.server.value).field("incarnation_of_server", statement.incarnation.value)
                .field("limit_per_s", statement.perSecond).field("age_ms", statement.ageMs).field("source", source)
        }
    }

    /** The entry VM [vm] has begun to report that it reaches no server of [service], and was told of [peers] others. */
    public class ServiceUnreached(
        private val vm: VmId,
        private val service: ServiceName,
        private val peers: Int,
    ) : FleetLogEvent("service-unreached") {
        override fun describe(line: LogLine) {
            line.field("vm", vm.value).field("service", service.value).field("peers", peers)
        }
    }

    /**
     * The entry VM [vm] has ended to report that it reaches no server of [service], after [elapsedMs] milliseconds.
     *
     * @param isExpired whether it has sent no report at all lately.
     */
    public class ServiceReached(
        private val vm: VmId,
        private val service: ServiceName,
        private val elapsedMs: Long,
        private val isExpired: Boolean,
    ) : FleetLogEvent("service-reached") {
        override fun describe(line: LogLine) {
            line.field("vm", vm.value).field("service", service.value).field("elapsed_ms", elapsedMs)
                .field("expired", isExpired)
        }
    }

    /** The configuration [version], fetched from [source], came into force on this VM. */
    public class ConfigurationInForce(
        private val version: Long,
        private val before: Long?,
        private val routes: Int,
        private val source: String,
    ) : FleetLogEvent("configuration") {
        override fun describe(line: LogLine) {
            line.field("version", version).field("before", before).field("routes", routes).field("source", source)
        }
    }

    /**
     * This VM may serve requests of customers under the configuration [version] ([isValid]), or no longer, since it has
     * no recent proof that this is the accepted one.
     *
     * @param controlAgeMs time in milliseconds since the last message of a control VM; null if there was none.
     */
    public class LeaseChanged(
        private val version: Long,
        private val isValid: Boolean,
        private val leftMs: Long,
        private val controlAgeMs: Long?,
    ) : FleetLogEvent(if (isValid) "lease-renewed" else "lease-lost") {
        override val isFailure: Boolean get() = !isValid

        override fun describe(line: LogLine) {
            line.field("version", version).field("left_ms", leftMs).field("control_age_ms", controlAgeMs)
        }
    }

    /** The configuration [version] can't be used. */
    public class ConfigurationUnusable(private val version: Long, private val reason: String) :
        FleetLogEvent("configuration-unusable") {
        override fun describe(line: LogLine) {
            line.field("version", version).field("reason", reason)
        }
    }

    /** The control VM [vm] has sent no message for [silentMs] milliseconds. */
    public class ControlLost(private val vm: VmId, private val silentMs: Long) : FleetLogEvent("control-lost") {
        override fun describe(line: LogLine) {
            line.field("vm", vm.value).field("silent_ms", silentMs)
        }
    }

    /** A message arrived from the control VM [vm], the first one ever or the first after [ControlLost]. */
    public class ControlReachable(private val vm: VmId, private val absentMs: Long?) : FleetLogEvent("control-heard") {
        override fun describe(line: LogLine) {
            line.field("vm", vm.value).field("gone_ms", absentMs)
        }
    }

    /** The data folder can't be used; opening it is retried after a pause. */
    public class StoreFailed(private val reason: String) : FleetLogEvent("store-failed") {
        override fun describe(line: LogLine) {
            line.field("reason", reason)
        }
    }

    /** The data folder was opened; the log is applied up to [appliedIndex]. */
    public class StoreOpened(private val appliedIndex: Long) : FleetLogEvent("store-opened") {
        override fun describe(line: LogLine) {
            line.field("applied", appliedIndex)
        }
    }

    /** This VM knows all departures of backend servers recorded before its start: [count], up to [revision]. */
    public class DeparturesRead(
        private val revision: Long,
        private val count: Int,
        private val elapsedMs: Long,
    ) : FleetLogEvent("departures-read") {
        override fun describe(line: LogLine) {
            line.field("revision", revision).field("count", count).field("elapsed_ms", elapsedMs)
        }
    }

    /** The departure [row] of a backend server could not be recorded because of [reason], and is not acknowledged. */
    public class DepartureUnconfirmed(private val row: BackendRow, private val reason: String) :
        FleetLogEvent("departure-unconfirmed") {
        override fun describe(line: LogLine) {
            line.field("server", row.id.value).field("incarnation_of_server", row.incarnation.value)
                .field("state", row.state.name.lowercase()).field("reason", reason)
        }
    }

    /** An engine was ordered to change its stage; [status] is the HTTP status of its answer, null without an answer. */
    public class StageOrdered(
        private val change: StageChange,
        private val fencing: FencingNumber,
        private val status: Int?,
    ) : FleetLogEvent("stage-order") {
        override fun describe(line: LogLine) {
            line.field("server", change.server.id.value).field("stage", change.stage.name.lowercase())
                .field("reason", change.reason).field("fencing", fencing.value).field("status", status)
        }
    }

    /** An operator's request to store a configuration was completed with [outcome]. */
    public class PutCompleted(
        private val version: Long?,
        private val outcome: String,
        private val reason: String?,
        private val elapsedMs: Long,
    ) : FleetLogEvent("put") {
        override fun describe(line: LogLine) {
            line.field("version", version).field("outcome", outcome).field("reason", reason)
                .field("elapsed_ms", elapsedMs)
        }
    }

    /** An operator's read was refused because the local version [present] may be older than the [current] one. */
    public class ReadRefused(
        private val current: Long?,
        private val present: Long?,
        private val reason: String,
    ) : FleetLogEvent("read-refused") {
        override fun describe(line: LogLine) {
            line.field("current", current).field("present", present).field("reason", reason)
        }
    }
}
