package gentiandale.relay.caller

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes responses, those to `HEAD` without a body. */
internal class HttpServerResponseEncoder : HttpResponseEncoder() {
    /** Whether the response that is due answers a `HEAD` request. */
    var isHead: Boolean = false

    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean = isHead || super.isContentAlwaysEmpty(response)
}
