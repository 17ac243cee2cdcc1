package gentiandale.relay.request

import gentiandale.relay.caller.HttpServerRequest
import io.netty.handler.codec.http.HttpHeaderNames
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Digest of what makes a request the same as another one: its method, host, target and body. It has the same length for
 * any request, and what the request holds can't be derived from it.
 */
@JvmInline
internal value class RequestFingerprint(val value: String) {
    override fun toString(): String = value

    companion object {
        private const val LENGTH_BYTES = 16

        /** Returns the fingerprint of [request], whose body must not have been released. */
        fun of(request: HttpServerRequest): RequestFingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            val host = request.headers.get(HttpHeaderNames.HOST).orEmpty().lowercase()
            listOf(request.method.name(), host, request.target).forEach {
                digest.update(it.toByteArray())
                digest.update(0)
            }
            request.body.nioBuffers().forEach(digest::update)
            return RequestFingerprint(HexFormat.of().formatHex(digest.digest(), 0, LENGTH_BYTES))
        }
    }
}
