package gentiandale.relay.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders

private val HOP_BY_HOP = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
)

/** Returns a copy without hop-by-hop headers and without the content length. */
internal fun HttpHeaders.endToEnd(): HttpHeaders {
    val named = getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
    val copy = DefaultHttpHeaders()
    forEach { (name, value) ->
        val lower = name.lowercase()
        if (lower !in HOP_BY_HOP && lower !in named) copy.add(name, value)
    }
    return copy
}
