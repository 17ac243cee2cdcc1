package gentiandale.relay

import gentiandale.core.ServerId

/** What the other VMs should know of this one. Called on the event loop. */
public interface RelayListener {
    /** The load that this VM has placed on engines has changed, possibly several times. */
    public fun onLoadChanged()

    /** The engine [server] did not answer this VM. */
    public fun onSuspect(server: ServerId)

    /** Tells the load at once, and calls [done] when the load that others had placed before is known, or soon after. */
    public fun confirmLoad(done: () -> Unit)

    /** Holds the usual receivers. */
    public companion object {
        /** Tells nobody. */
        public val NONE: RelayListener = object : RelayListener {
            override fun onLoadChanged() = Unit

            override fun onSuspect(server: ServerId) = Unit

            override fun confirmLoad(done: () -> Unit) = done()
        }
    }
}
