package gentiandale.relay.request

/** Plain calls of this VM that wait for a permit; the most urgent ones go first. */
internal class PermitQueue {
    /** A call that waits. */
    interface Entry {
        /** Rank of the call; 0 is the most urgent. */
        val urgency: Int

        /** Rank of its route, which decides among calls with the same [urgency] of their customers. */
        val routeUrgency: Int

        /** Continues if there is a server that the call may be sent to now. */
        fun onPermits()
    }

    private val entries = LinkedHashSet<Entry>()

    /** Number of calls that wait. */
    val size: Int get() = entries.size

    operator fun contains(entry: Entry): Boolean = entry in entries

    fun add(entry: Entry) {
        entries += entry
    }

    fun remove(entry: Entry) {
        entries -= entry
    }

    /** Lets the calls continue for which there are permits. */
    fun onPermits() = entries.sortedWith(compareBy({ it.urgency }, { it.routeUrgency }))
        .forEach { if (it in entries) it.onPermits() }
}
