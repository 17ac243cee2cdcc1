package gentiandale.relay

/** Receives what the metrics count. */
public interface RelayStats {
    /** Notes the end of a request on [route], with the times in milliseconds to its end and to its first byte. */
    public fun onEnded(route: String, urgency: Int, outcome: String, elapsedMs: Long, firstMs: Long?)

    /** Notes a request that was refused before it had a route. */
    public fun onUnrouted(status: Int)

    /** Notes a repeated send to [service], or one that the budget forbade. */
    public fun onRepeat(service: String, allowed: Boolean)

    /** Holds the usual receivers. */
    public companion object {
        /** Counts nothing. */
        public val NONE: RelayStats = object : RelayStats {
            override fun onEnded(route: String, urgency: Int, outcome: String, elapsedMs: Long, firstMs: Long?) = Unit

            override fun onUnrouted(status: Int) = Unit

            override fun onRepeat(service: String, allowed: Boolean) = Unit
        }
    }
}
