package gentiandale.daemon.claim

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.core.IdempotencyKey
import java.security.MessageDigest

/**
 * A call of a plain service as received from the caller.
 *
 * @param path path and query, relative to the service.
 * @param deadlineMs monotonic time in milliseconds until which the caller waits for the answer.
 */
internal class PlainCall(
    val service: String,
    val method: HttpMethod,
    val path: String,
    val headers: RequestHeaders,
    val body: HttpData,
    val caller: String,
    val deadlineMs: Long,
) {
    /** Returns the hexadecimal SHA-256 digest of caller, service, method, path and body. */
    fun digest(): String {
        val sha = MessageDigest.getInstance("SHA-256")
        listOf(caller, service, method.name, path).forEach {
            sha.update(it.toByteArray())
            sha.update(0)
        }
        sha.update(body.array())
        return sha.digest().joinToString("") { "%02x".format(it) }
    }
}

/** Guarantee on how often a call runs. */
internal sealed interface Repeat {
    /** It may be sent again if its outcome is unknown. */
    data object Idempotent : Repeat

    /** It is sent again only if no byte of it can have been sent; nothing is stored about it. */
    data object Once : Repeat

    /** It runs at most once for its [key], also if the caller repeats the call. */
    data class AtMostOnce(val key: IdempotencyKey) : Repeat
}
