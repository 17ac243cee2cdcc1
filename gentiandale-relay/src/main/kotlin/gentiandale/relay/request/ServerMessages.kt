package gentiandale.relay.request

import gentiandale.relay.backend.Backend
import gentiandale.relay.forward.ForwardedRequest
import gentiandale.relay.routing.Repetition
import gentiandale.relay.routing.RouteRule
import gentiandale.relay.upstream.Dialect
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion

/** Statuses by which a caller may conclude that the request has not run. */
private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

/**
 * Builds the request to [server], which has [leftMs] milliseconds, with [change] applied to its headers.
 *
 * @param streamToContinue id of the request that brought the first event of the stream which goes on, or null.
 */
internal fun RoutedRequest.requestTo(
    server: Backend,
    leftMs: Long,
    dialect: Dialect,
    streamToContinue: String?,
    change: (HttpHeaders) -> Unit,
): FullHttpRequest {
    val body = request.body.retainedDuplicate()
    val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.target, body)
    message.headers().set(headers)
    if (server.isPeer) {
        dialect.setTarget(message.headers(), leftMs, server = null, urgency = null)
        ForwardedRequest(version, streamToContinue, key).writeTo(message.headers())
    } else {
        dialect.setTarget(message.headers(), leftMs, server.row.id, urgency.takeIf { rule?.engine != null })
        customer?.let { dialect.setCustomer(message.headers(), it.name) }
    }
    if (body.isReadable || request.method == HttpMethod.POST || request.method == HttpMethod.PUT) {
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
    }
    change(message.headers())
    return message
}

/**
 * Returns whether an answer that is not a stream can be forwarded unchanged to the caller of [route]. An unsigned or
 * encoded answer can't, nor one whose status claims that a request which must not be repeated has not run.
 */
internal fun HttpResponse.isForwardable(route: RouteRule, dialect: Dialect): Boolean {
    val signed = status().codeClass() != HttpStatusClass.SUCCESS || dialect.isSigned(headers())
    val claimsNotRun = status().code() in NOT_RUN_STATUSES && route.repetition == Repetition.AT_MOST_ONCE
    return signed && !claimsNotRun && !headers().contains(HttpHeaderNames.CONTENT_ENCODING)
}
