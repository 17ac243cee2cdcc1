package gentiandale.relay.placement

import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.SoftwareVersion
import gentiandale.core.backend.StreamOrigin

/** What is done about a stream that its caller takes up. */
public sealed interface TakeUp {
    /** Name in logs and metrics. */
    public val label: String

    /** It goes on at servers of [origin], which [source] names. */
    public data class GoOn(val origin: StreamOrigin, val source: String) : TakeUp {
        override val label: String get() = "go-on"
    }

    /** It is refused for [reason], and the caller may try again after [retryAfterMs] milliseconds. */
    public data class Refuse(val reason: String, val retryAfterMs: Long) : TakeUp {
        override val label: String get() = "refuse"
    }
}

/** Decides whether a stream that was broken off may go on, and where. */
public object TakeUpPolicy {
    /** Time in milliseconds after which another VM may know more. */
    private const val OTHER_VM_RETRY_MS = 300L

    /** Time in milliseconds after which the configuration may allow the stream again. */
    private const val CHANGE_RETRY_MS = 1_000L

    /**
     * Decides about a stream of which [lookup] tells the origin.
     *
     * @param services services to which its route leads now.
     * @param versions versions of the servers of these services that this VM knows.
     */
    public fun next(lookup: OriginLookup, services: Set<ServiceName>, versions: Set<SoftwareVersion>): TakeUp =
        when (lookup) {
            is OriginLookup.Found -> found(lookup, services)
            is OriginLookup.NotRecorded -> notRecorded(lookup, services, versions)
            is OriginLookup.Ambiguous -> refuse("two streams began under the same id")
            is OriginLookup.Unanswered -> refuse("origin of the stream unknown: not all control VMs have answered")
        }

    private fun found(lookup: OriginLookup.Found, services: Set<ServiceName>): TakeUp {
        if (lookup.origin.service in services) return TakeUp.GoOn(lookup.origin, lookup.source)
        return TakeUp.Refuse("the route no longer leads to ${lookup.origin.service}", CHANGE_RETRY_MS)
    }

    /** Without a record the origin is certain only if there has been a single one for longer than a stream lasts. */
    private fun notRecorded(
        lookup: OriginLookup.NotRecorded,
        services: Set<ServiceName>,
        versions: Set<SoftwareVersion>,
    ): TakeUp {
        val service = services.singleOrNull()
        val version = (lookup.versions + versions).singleOrNull()
        return when {
            service == null -> refuse("origin of the stream unknown, and its route leads to several services")
            version == null -> refuse("origin of the stream unknown, and servers run several versions")
            !lookup.isComplete -> refuse("origin of the stream unknown: control VMs have restarted")
            else -> TakeUp.GoOn(StreamOrigin(service, version), "single version")
        }
    }

    private fun refuse(reason: String) = TakeUp.Refuse(reason, OTHER_VM_RETRY_MS)
}
