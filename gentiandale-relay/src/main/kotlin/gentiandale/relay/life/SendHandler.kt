package gentiandale.relay.life

import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Receives what becomes of one send of a request to one server. */
internal interface SendHandler {
    /** Returns the request to write now. */
    fun request(): FullHttpRequest

    /** Takes status and headers. */
    fun onHead(head: HttpResponse)

    /** Takes a part of the body. */
    fun onContent(content: ByteBuf)

    /** Notes the end of a complete answer. */
    fun onEnd()

    /** Notes that no whole answer will come. */
    fun onFailure(failure: SendFailure)

    /** Notes that the answer is not waited for any more. */
    fun onDropped()
}
