package gentiandale.wire

import kotlinx.serialization.Serializable

/** Names the conversation that a message between two processes belongs to. */
@Serializable
public enum class Channel {
    /** Agreement among voters. */
    AGREEMENT,

    /** Operations on the replicated store, sent to a voter. */
    STORE,

    /** Spread of the accepted configuration. */
    SPREAD,

    /** Membership of entry VMs and backend servers. */
    MEMBERSHIP,

    /** Requests forwarded to the VM that owns the servers. */
    FORWARD,

    /** Check of a link that carries traffic: the receiver answers on the same connection. */
    LINK,

    /** Configuration, backend servers and VMs, between control VMs and entry VMs. */
    FLEET,
}
