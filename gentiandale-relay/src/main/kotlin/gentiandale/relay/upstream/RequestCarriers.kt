package gentiandale.relay.upstream

/** The connections that have carried a request. No connection carries the same request twice. */
internal class RequestCarriers {
    private val connections = HashSet<UpstreamConnection>(2)

    fun add(connection: UpstreamConnection) {
        connections += connection
    }

    operator fun contains(connection: UpstreamConnection): Boolean = connection in connections
}
