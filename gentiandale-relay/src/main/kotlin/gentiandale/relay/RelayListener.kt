package gentiandale.relay

import gentiandale.core.ServerId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.StreamId
import gentiandale.core.backend.StreamOrigin
import gentiandale.core.capacity.CapacityAnswer
import gentiandale.core.capacity.CapacityRequest
import gentiandale.core.customer.QuotaReport

/** Receives events of a relay that concern the other VMs. Called on the event loop. */
public interface RelayListener {
    /** Called after one or more changes of the load that this VM has placed on servers and reports. */
    public fun onLoadChanged()

    /** Called when the engine [server] has failed to answer this VM. */
    public fun onSuspect(server: ServerId)

    /** Called when a server has said in an answer that it leaves; [row] is its changed row. */
    public fun onDeparting(row: BackendRow)

    /** Called with the records of engine crashes of which this VM has learned something new. */
    public fun onCrashEvidence(records: List<CrashRecord>)

    /** Called when a server has said something new about its request limit, and from time to time while it holds. */
    public fun onLimitStated(statement: LimitStatement)

    /** Called when requests of this VM need [wanted] permits for the server of [limit]. */
    public fun onPermitsMissing(limit: LimitStatement, wanted: Int)

    /** Called with a report about the usage of customers, and questions, for the control VM that issues quotas. */
    public fun onQuotaReport(report: QuotaReport)

    /** Called when [streams] have got their first event from servers of [origin]; [keepMs] is how long that matters. */
    public fun onStreamsBegun(origin: StreamOrigin, streams: List<StreamId>, keepMs: Long)

    /**
     * Finds the origin of [stream] of [service], which this VM has not begun, or only the versions of its servers if
     * [stream] is null. Calls [done] at most once.
     */
    public fun findOrigin(stream: StreamId?, service: ServiceName, done: (OriginLookup) -> Unit)

    /** Called after a service was lost or is reached again; [lost] are those that this VM doesn't reach. */
    public fun onReachChanged(lost: List<ServiceName>)

    /** Reports the load at once, and calls [done] when the load placed earlier by other VMs is known, or soon after. */
    public fun confirmLoad(done: () -> Unit)

    /**
     * Asks for capacity for [request]. Calls [done] with the answer, once, unless [cancelCapacity] has withdrawn the
     * request; the call may come before this one returns.
     */
    public fun requestCapacity(request: CapacityRequest, done: (CapacityAnswer) -> Unit)

    /** Withdraws the request [number] for capacity of [service]. */
    public fun cancelCapacity(service: ServiceName, number: Long)

    /** Provides an implementation without effect. */
    public companion object {
        /** Ignores all events and confirms loads at once. */
        public val NONE: RelayListener = object : RelayListener {
            override fun onLoadChanged() = Unit

            override fun onSuspect(server: ServerId) = Unit

            override fun onDeparting(row: BackendRow) = Unit

            override fun onCrashEvidence(records: List<CrashRecord>) = Unit

            override fun onLimitStated(statement: LimitStatement) = Unit

            override fun onPermitsMissing(limit: LimitStatement, wanted: Int) = Unit

            override fun onQuotaReport(report: QuotaReport) = Unit

            override fun onStreamsBegun(origin: StreamOrigin, streams: List<StreamId>, keepMs: Long) = Unit

            override fun findOrigin(stream: StreamId?, service: ServiceName, done: (OriginLookup) -> Unit) =
                done(OriginLookup.Unanswered)

            override fun onReachChanged(lost: List<ServiceName>) = Unit

            override fun confirmLoad(done: () -> Unit) = done()

            override fun requestCapacity(request: CapacityRequest, done: (CapacityAnswer) -> Unit) =
                done(CapacityAnswer.Unanswered)

            override fun cancelCapacity(service: ServiceName, number: Long) = Unit
        }
    }
}
