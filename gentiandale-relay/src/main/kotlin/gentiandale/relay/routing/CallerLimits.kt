package gentiandale.relay.routing

/**
 * Bounds of what a caller may send.
 *
 * @param maxHeaderBytes most bytes of request line and headers.
 * @param maxBodyBytes most bytes of a body.
 * @param headerTimeoutMs longest time in milliseconds from the first byte of a request to the end of its headers.
 * @param idleTimeoutMs time in milliseconds after which an idle connection is closed.
 */
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)
