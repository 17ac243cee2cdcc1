package gentiandale.daemon.forward

/**
 * Intervals and timeouts of the forwarding protocol, in milliseconds.
 *
 * @param tickMs interval at which both sides of a session check what to send and whether the other side is lost.
 * @param keepAliveMs longest time without sending a message to the other side.
 * @param leaseMs time without a message after which an owner cancels the session, and an entry VM takes the owner for
 *   lost.
 * @param resendMs time without progress after which a message is sent again.
 */
internal data class ForwardTimes(
    val tickMs: Long = 100,
    val keepAliveMs: Long = 500,
    val leaseMs: Long = 3_000,
    val resendMs: Long = 400,
)
