package gentiandale.wire

import gentiandale.core.VmId

/** Decides which messages pass. Tests simulate network partitions with it; a daemon lets every message pass. */
public fun interface LinkFilter {
    /** Returns whether a message from [from] to [to] on [channel] passes. */
    public fun passes(from: VmId, to: VmId, channel: Channel): Boolean

    /** Provides common filters. */
    public companion object {
        /** Lets every message pass. */
        public val OPEN: LinkFilter = LinkFilter { _, _, _ -> true }
    }
}
