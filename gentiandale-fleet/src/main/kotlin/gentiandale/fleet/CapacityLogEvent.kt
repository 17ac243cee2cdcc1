package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.log.LogEvent
import gentiandale.core.log.LogLine

/** Log events about requests that wait for capacity. */
internal sealed class CapacityLogEvent(override val name: String) : LogEvent {
    override val part: String get() = "capacity"

    protected fun LogLine.describe(waiting: WaitingRequest, nowMs: Long): LogLine = with(waiting.request) {
        field("vm", waiting.vm.value).field("number", number).field("service", service.value)
            .field("customer", customer?.value).field("route", route).field("urgency", urgency)
            .field("age_ms", nowMs - waiting.startMs).field("target_ms", waiting.dueMs - nowMs)
            .field("left_ms", waiting.deadlineMs - nowMs).field("duration_ms", durationMs).field("tokens", tokens)
    }

    /** [request] got capacity at [server] before [waiting] others; its customer had got [work] lately. */
    class Granted(
        private val request: WaitingRequest,
        private val server: ServerId,
        private val waiting: Int,
        private val work: Double,
        private val nowMs: Long,
    ) : CapacityLogEvent("capacity-granted") {
        override fun describe(line: LogLine) {
            line.describe(request, nowMs).field("server", server.value).field("waiting", waiting)
                .field("work", work.toLong()).field("late", request.isLate(nowMs))
        }
    }

    /** [request] was refused, as [ahead] others take [waitMs] milliseconds; null if that is unknown. */
    class Refused(
        private val request: WaitingRequest,
        private val reason: String,
        private val ahead: Long,
        private val waitMs: Long?,
        private val retryMs: Long,
        private val nowMs: Long,
    ) : CapacityLogEvent("capacity-refused") {
        override fun describe(line: LogLine) {
            line.describe(request, nowMs).field("reason", reason).field("ahead", ahead).field("wait_ms", waitMs)
                .field("retry_ms", retryMs)
        }
    }

    /** Requests of a service must ask for capacity from now on, or no longer. */
    class ContentionChanged(
        private val status: CapacityStatus,
        private val isContended: Boolean,
        private val usage: Double,
    ) : CapacityLogEvent("contention") {
        override fun describe(line: LogLine) {
            line.field("service", status.service.value).field("contended", isContended)
                .field("waiting", status.waiting).field("usage", usage).field("granted", status.granted)
                .field("refused", status.refused)
        }
    }

    /** The requests of the entry VM [vm] no longer wait because of [reason]. */
    class VmRemoved(private val vm: VmId, private val reason: String) : CapacityLogEvent("capacity-vm-removed") {
        override fun describe(line: LogLine) {
            line.field("vm", vm.value).field("reason", reason)
        }
    }
}
