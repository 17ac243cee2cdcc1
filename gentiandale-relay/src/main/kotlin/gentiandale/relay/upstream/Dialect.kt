package gentiandale.relay.upstream

import gentiandale.core.Address
import gentiandale.core.ServerId
import gentiandale.core.backend.RequestTrait
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders

/**
 * Headers and small bodies of the HTTP interface between callers, backend servers and this system. An implementation
 * defines their names and formats, which the relay does not depend on.
 */
public interface Dialect :
    AnswerDialect,
    CustomerDialect,
    CostDialect {
    /** Name of the header with the request id. */
    public val requestIdHeader: String

    /** Returns the request id that the caller has set, or that a server repeats in its answer, or null. */
    public fun requestId(headers: HttpHeaders): String? = headers.get(requestIdHeader)

    /** Returns the time in milliseconds that the caller allows for the answer, or null. */
    public fun deadlineMs(headers: HttpHeaders): Long?

    /** Returns the size of a generation as stated by the caller, or null. */
    public fun size(headers: HttpHeaders): GenerationSize?

    /** Returns the parts of the prompt that other requests may hold too, in their order; the last part is left out. */
    public fun sharedParts(headers: HttpHeaders): List<RequestTrait>

    /** Returns the id of the last event of a stream that the caller has received, or null. */
    public fun lastEventId(headers: HttpHeaders): String?

    /** Returns the id of the request that brought the first event of a stream which the caller takes up, or null. */
    public fun firstRequestId(headers: HttpHeaders): String?

    /** Removes the headers that only this system may set. */
    public fun removeReserved(headers: HttpHeaders)

    /** Sets the time left, the intended [server] and the [urgency], of which 0 is the most urgent; null sets none. */
    public fun setTarget(headers: HttpHeaders, leftMs: Long, server: ServerId?, urgency: Int?)

    /** Requests that the prompt is read and nothing is generated. */
    public fun requestPrefill(headers: HttpHeaders)

    /** States that the KV cache of the prompt is at [source] under [handle]. */
    public fun setCacheSource(headers: HttpHeaders, source: Address, handle: String)

    /** Requests that a stream resumes after the event [id]. */
    public fun resumeAfter(headers: HttpHeaders, id: String)

    /** Returns the handle of the KV cache from [body], the answer to a prefill, or null if it contains none. */
    public fun prefillHandle(body: ByteBuf): String?

    /** Returns the request that frees the KV cache under [handle]. */
    public fun releaseCache(handle: String): FullHttpRequest
}

/** Size of a generation in tokens: the [prompt], the limit of the [answer], and its [expected] length. */
public data class GenerationSize(val prompt: Int, val answer: Int, val expected: Int)
