package gentiandale.relay.request

import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Handles the answer to one send of a request to one server. */
internal interface SendHandler {
    /** Returns the HTTP request to write. */
    fun request(): FullHttpRequest

    /** Called with status and headers. */
    fun onHead(head: HttpResponse)

    /** Called with a part of the body. */
    fun onContent(content: ByteBuf)

    /** Called at the end of a complete answer. */
    fun onEnd()

    /** Called when no complete answer will arrive. */
    fun onFailure(failure: SendFailure)

    /** Releases the buffers and load of the send; called when it has been cancelled. */
    fun release()
}
