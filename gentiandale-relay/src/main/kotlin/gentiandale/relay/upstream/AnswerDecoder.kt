package gentiandale.relay.upstream

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes HTTP answers. An answer to a `HEAD` request has no body, whatever its headers say. */
internal class AnswerDecoder(maxLineBytes: Int, maxHeaderBytes: Int, maxChunkBytes: Int) :
    HttpResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
    /** Whether the next answer has no body. */
    var isBodyless: Boolean = false

    public override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isBodyless || super.isContentAlwaysEmpty(message)
}
