package gentiandale.relay.forward

import gentiandale.relay.caller.HttpServerReply
import gentiandale.relay.upstream.Dialect
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Reply to the entry VM that has forwarded the request [id]. Like a server's, it repeats the id. */
internal class ForwardedReply(
    private val reply: HttpServerReply,
    private val dialect: Dialect,
    private val id: String?,
) : HttpServerReply by reply {
    override fun answer(
        status: Int,
        headers: HttpHeaders,
        body: ByteBuf,
    ) = reply.answer(status, repeatId(headers), body)

    override fun begin(status: Int, headers: HttpHeaders) = reply.begin(status, repeatId(headers))

    private fun repeatId(headers: HttpHeaders): HttpHeaders {
        if (id != null) dialect.setRequestId(headers, id)
        return headers
    }
}
