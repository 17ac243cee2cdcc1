package gentiandale.relay.upstream

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes answers. The base class would read a sign or further digits of a status as parts of its number. */
internal open class StrictAnswerDecoder(
    maxLineBytes: Int = DEFAULT_MAX_INITIAL_LINE_LENGTH,
    maxHeaderBytes: Int = DEFAULT_MAX_HEADER_SIZE,
    maxChunkBytes: Int = DEFAULT_MAX_CHUNK_SIZE,
) : HttpResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val status = initialLine[1]
        require(status.length == STATUS_DIGITS && status.all { it in '0'..'9' }) { "status '$status'" }
        return super.createMessage(initialLine)
    }

    private companion object {
        const val STATUS_DIGITS = 3
    }
}
