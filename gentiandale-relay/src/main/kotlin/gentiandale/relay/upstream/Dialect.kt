package gentiandale.relay.upstream

import gentiandale.core.Address
import gentiandale.core.ServerId
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders

/**
 * The headers and small bodies in which callers, backend servers and this system talk to each other. The relay knows
 * what is said; an implementation knows how.
 */
public interface Dialect {
    /** Returns the id that the caller gave its request, or that a server repeats, or null. */
    public fun requestId(headers: HttpHeaders): String?

    /** Returns the time in milliseconds for which the caller waits, or null. */
    public fun deadlineMs(headers: HttpHeaders): Long?

    /** Returns the prompt tokens and the most answer tokens of a generation, or null. */
    public fun size(headers: HttpHeaders): GenerationSize?

    /** Returns the last event that the caller has of a stream, or null. */
    public fun lastEventId(headers: HttpHeaders): String?

    /** Removes what only this system may say. */
    public fun removeReserved(headers: HttpHeaders)

    /** Sets the time left, the server that is meant, and the urgency from 0, which is the most urgent. */
    public fun setTarget(headers: HttpHeaders, leftMs: Long, server: ServerId, urgency: Int?)

    /** Asks for the prompt to be read and nothing to be generated. */
    public fun requestPrefill(headers: HttpHeaders)

    /** Says that the KV cache of the prompt is at [source] under [handle]. */
    public fun setCacheSource(headers: HttpHeaders, source: Address, handle: String)

    /** Asks for a stream to go on after the event [id]. */
    public fun resumeAfter(headers: HttpHeaders, id: String)

    /** Returns whether a server states that it did not run the request. */
    public fun isNotExecuted(status: Int, headers: HttpHeaders): Boolean

    /** Returns whether an answer bears the signature of a server. */
    public fun isSigned(headers: HttpHeaders): Boolean

    /** Returns the handle of the KV cache that [body], the answer to a prefill, names, or null if it names none. */
    public fun prefillHandle(body: ByteBuf): String?

    /** Returns the call that frees the KV cache under [handle]. */
    public fun releaseCache(handle: String): FullHttpRequest
}

/** Tokens of a generation: [prompt] tokens to read, at most [answer] tokens to make, of which [expected] are likely. */
public data class GenerationSize(val prompt: Int, val answer: Int, val expected: Int)
