package gentiandale.relay.routing

import gentiandale.core.backend.ServiceName
import kotlin.random.Random

/**
 * One version of the routes, services and limits of an operator.
 *
 * @param version chosen by the operator; a higher one replaces a lower one.
 */
public class RoutingTable(
    public val version: Long,
    routes: List<RouteRule>,
    public val services: List<ServiceRule>,
    public val limits: CallerLimits,
) {
    private val byHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, rules) -> rules.sortedByDescending { it.prefix.length } }
    private val byName = services.associateBy { it.name }

    /** Number of routes. */
    public val size: Int = routes.size

    /** Returns the route of [target], a path with an optional query, on [host], or null. */
    public fun find(host: String, target: String): RouteRule? {
        val path = target.substringBefore('?')
        return byHost[host.substringBefore(':').lowercase()]?.find { path.startsWith(it.prefix) }
    }

    /** Returns the service of [name], or null. */
    public fun service(name: ServiceName): ServiceRule? = byName[name]
}

/** Draws the service of one request by the weights of this route. */
public fun RouteRule.drawService(random: Random): ServiceName {
    val total = shares.sumOf { it.weight }
    var left = random.nextInt(total)
    return shares.first { share ->
        left -= share.weight
        left < 0
    }.service
}
