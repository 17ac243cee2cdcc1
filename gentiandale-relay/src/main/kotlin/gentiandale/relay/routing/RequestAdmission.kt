package gentiandale.relay.routing

import gentiandale.core.customer.KeyDigest
import gentiandale.relay.ShutdownWindow
import gentiandale.relay.forward.ForwardedRequest

/** Whether a request is handled by this VM. */
internal sealed interface RequestAdmission {
    /** It is handled by [route] of [table] for [customer], who has sent it with [key]; both are null without one. */
    data class Admitted(
        val table: RoutingTable,
        val route: RouteRule,
        val customer: CustomerRule? = null,
        val key: KeyDigest? = null,
    ) : RequestAdmission

    /** It is refused because of its key, for [reason], and has not run. [key] is null if there is no usable one. */
    data class Unauthorized(val route: RouteRule, val reason: KeyRefusal, val key: KeyDigest?) : RequestAdmission

    /** It is refused, and has not run, since the table of [version] may be older than the revocation of its key. */
    data class Outdated(val route: RouteRule, val version: Long) : RequestAdmission

    /** It is refused with [status] because of [reason], and has not run. */
    data class Refused(val status: Int, val reason: String) : RequestAdmission
}

/**
 * Where a request came from.
 *
 * @param forwarded what the entry VM that has forwarded it tells about it, or null if it came from a caller.
 * @param access checks whether keys are still valid.
 * @param keys returns the keys that a caller has stated; called only if one is required.
 */
internal class RequestSource(
    val forwarded: ForwardedRequest?,
    private val access: CustomerAccess,
    private val keys: () -> List<String>,
) {
    /** Whether the table in force may be used for requests that need a key. */
    val isCurrent: Boolean get() = access.isCurrent

    /** Key of its customer. */
    val statedKey: StatedKey get() = forwarded?.statedKey ?: StatedKey.of(keys())
}

/** Decides whether a request is handled by this VM. */
internal object AdmissionPolicy {
    private const val UNAVAILABLE = 503
    private const val NOT_FOUND = 404

    /**
     * Decides about a request to [target] of [host].
     *
     * @param table routing table in force, or null if there is none yet.
     * @param shutdown window in which this VM shuts down, or null if it doesn't.
     * @param source where the request came from.
     */
    fun next(
        table: RoutingTable?,
        host: String,
        target: String,
        shutdown: ShutdownWindow?,
        nowMs: Long,
        source: RequestSource,
    ): RequestAdmission {
        val route = table?.find(host, target)
        val forwarded = source.forwarded
        return when {
            table == null -> RequestAdmission.Refused(UNAVAILABLE, "no routing table installed yet")
            forwarded != null && forwarded.version > table.version ->
                RequestAdmission.Refused(UNAVAILABLE, "forwarded under the newer configuration ${forwarded.version}")
            route == null -> RequestAdmission.Refused(NOT_FOUND, "no matching route")
            shutdown?.allows(route.stream, nowMs) == false ->
                RequestAdmission.Refused(UNAVAILABLE, "shutting down: too little time left for the request")
            // The VM that has forwarded the request counts its attempts.
            forwarded != null -> identify(table, route.copy(maxAttempts = 1), source)
            else -> identify(table, route, source)
        }
    }

    private fun identify(table: RoutingTable, route: RouteRule, source: RequestSource): RequestAdmission {
        val customers = table.customers?.takeUnless { route.isOpen } ?: return RequestAdmission.Admitted(table, route)
        if (!source.isCurrent) return RequestAdmission.Outdated(route, table.version)
        return when (val key = source.statedKey) {
            is StatedKey.Unusable -> RequestAdmission.Unauthorized(route, key.reason, null)
            is StatedKey.Usable ->
                customers.find(key.digest)?.let { RequestAdmission.Admitted(table, route, it, key.digest) }
                    ?: RequestAdmission.Unauthorized(route, KeyRefusal.UNKNOWN, key.digest)
        }
    }
}
