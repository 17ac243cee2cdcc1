package gentiandale.relay

import gentiandale.core.ServerId
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.LogLine
import gentiandale.relay.placement.CapacityView

/**
 * A decision about a request that needs capacity which a control VM assigns.
 *
 * @param decision what the request does, or how its wait has ended.
 * @param view situation in which the request asked, or null for the end of a wait.
 * @param loadsAgeMs time since a control VM last sent loads, or null before the first.
 * @param ageMs time since the request arrived.
 * @param waitedMs time since it began to wait.
 * @param server server that was granted, or null.
 */
public class CapacityEvent(
    private val request: String?,
    private val service: ServiceName,
    private val decision: String,
    private val view: CapacityView?,
    private val loadsAgeMs: Long?,
    private val ageMs: Long,
    private val waitedMs: Long,
    private val server: ServerId? = null,
    private val reason: String? = null,
    private val retryAfterMs: Long? = null,
) : RelayEvent("capacity") {
    override fun describe(line: LogLine) {
        line.field("request", request).field("service", service.value).field("decision", decision)
            .field("server", server?.value).field("reason", reason).field("retry_after_ms", retryAfterMs)
            .field("age_ms", ageMs).field("waited_ms", waitedMs).field("loads_age_ms", loadsAgeMs)
        if (view == null) return
        line.field("contended", view.isContended).field("has_capacity", view.hasCapacity)
            .field("rejections", view.rejections).field("left_ms", view.leftMs)
    }
}
