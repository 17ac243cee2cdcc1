package gentiandale.relay

/**
 * One use of a connection, for logs.
 *
 * @param connection number of the connection among those of its kind in this process, counted from 1.
 * @param use number of the request on this connection, counted from 1.
 */
public data class ConnectionUse(val connection: Long, val use: Int)
