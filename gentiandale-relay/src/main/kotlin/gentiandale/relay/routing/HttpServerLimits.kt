package gentiandale.relay.routing

/**
 * Limits for the requests and connections of an HTTP server.
 *
 * @param maxHeaderBytes maximum size of the request line, and of the headers, in bytes.
 * @param maxBodyBytes maximum size of a request body in bytes.
 * @param headerTimeoutMs time in milliseconds from the opening of a connection to the first complete request head.
 * @param idleTimeoutMs time in milliseconds after which an idle connection is closed, and limit for reading a body.
 */
public data class HttpServerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)
