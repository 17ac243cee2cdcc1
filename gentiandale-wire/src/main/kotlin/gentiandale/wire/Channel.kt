package gentiandale.wire

import kotlinx.serialization.Serializable

/** Subject of a message between two processes; each channel has a handler of its own. */
@Serializable
public enum class Channel {
    /** Consensus messages between voters. */
    AGREEMENT,

    /** Operations on the replicated store, sent to a voter. */
    STORE,

    /** Distribution of the accepted configuration. */
    SPREAD,

    /** Membership of entry VMs and backend servers. */
    MEMBERSHIP,

    /** Requests forwarded to the VM that owns the servers. */
    FORWARD,

    /** Pings on a connection that carries traffic: the receiver answers on the same connection. */
    LINK,

    /** Configuration, backend servers and VMs, between control VMs and entry VMs. */
    FLEET,
}
