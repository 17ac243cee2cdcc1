package gentiandale.daemon.request

import gentiandale.core.Address
import gentiandale.core.Attempt
import gentiandale.core.ServerId

/** A server with its address at the time of placement. */
internal data class Target(val server: ServerId, val address: Address)

/** Servers that run one [attempt]. */
internal data class Placement(val attempt: Attempt, val prefill: Target, val decode: Target)

/** State of a request in its [RequestLifecycle]. */
internal sealed interface RequestState {
    /** Waits for placement. No engine holds resources for the request. */
    data object Queued : RequestState

    /** States in which engines may hold resources for the request. */
    sealed interface Running : RequestState {
        /** Servers of the current attempt. */
        val placement: Placement
    }

    /** Placed; the prefill call is about to be sent. */
    data class Placed(override val placement: Placement) : Running

    /** The prefill call has been sent. */
    data class Prefilling(override val placement: Placement) : Running

    /** The decode call has been sent; the KV cache is being transferred. */
    data class Transferring(override val placement: Placement) : Running

    /**
     * The decode stream is open.
     *
     * @param tokenSeen whether this attempt has delivered a token.
     */
    data class Decoding(override val placement: Placement, val tokenSeen: Boolean = false) : Running

    /** Final states. */
    sealed interface Ended : RequestState

    /** The complete answer was delivered. */
    data object Answered : Ended

    /** The request was refused or has failed, and the refusal was delivered. */
    data object Refused : Ended

    /** The caller disconnected. */
    data object Cancelled : Ended
}
