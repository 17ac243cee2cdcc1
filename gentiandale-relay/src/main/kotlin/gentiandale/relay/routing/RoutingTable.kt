package gentiandale.relay.routing

import gentiandale.core.backend.ServiceName
import kotlin.random.Random

/**
 * One version of the routes, services and limits set by the operator.
 *
 * @param version set by the operator; a table with a higher version replaces one with a lower version.
 * @param customers customers whose requests are served; null if requests need no key.
 */
public class RoutingTable(
    public val version: Long,
    routes: List<RouteRule>,
    public val services: List<ServiceRule>,
    public val limits: HttpServerLimits,
    public val customers: CustomerDirectory? = null,
) {
    private val byHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, rules) -> rules.sortedByDescending { it.prefix.length } }
    private val byName = services.associateBy { it.name }

    /** Number of routes. */
    public val size: Int = routes.size

    /** Returns the route that matches [host] and [target], a path with an optional query, or null. */
    public fun find(host: String, target: String): RouteRule? {
        val path = target.substringBefore('?')
        return byHost[host.substringBefore(':').lowercase()]?.find { path.startsWith(it.prefix) }
    }

    /** Returns the rule of the service [name], or null. */
    public fun service(name: ServiceName): ServiceRule? = byName[name]
}

/** Chooses the service of one request at random by the weights of this route. */
public fun RouteRule.drawService(random: Random): ServiceName {
    val total = shares.sumOf { it.weight }
    var left = random.nextInt(total)
    return shares.first { share ->
        left -= share.weight
        left < 0
    }.service
}
