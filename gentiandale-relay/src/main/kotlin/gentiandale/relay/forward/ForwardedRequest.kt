package gentiandale.relay.forward

import gentiandale.core.customer.KeyDigest
import gentiandale.relay.routing.KeyRefusal
import gentiandale.relay.routing.StatedKey
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.Base64

/**
 * What an entry VM tells a peer about a request that it forwards, beside the request itself.
 *
 * @param version version of the configuration by which it was accepted; a peer with an older one must not serve it.
 * @param stream id of the request that brought the first event of the stream which goes on, or null.
 * @param key digest of the key of its customer, or null if its route needs none. The key itself is never passed on.
 */
@Serializable
internal data class ForwardedRequest(
    @SerialName("v") val version: Long,
    @SerialName("s") val stream: String? = null,
    @SerialName("k")
    @Serializable(KeyDigestSerializer::class)
    val key: KeyDigest? = null,
) {
    /** The key by which the customer is looked up. */
    val statedKey: StatedKey
        get() = key?.let { StatedKey.Usable(it) } ?: StatedKey.Unusable(KeyRefusal.MISSING)

    /** Writes this into [headers]. */
    fun writeTo(headers: HttpHeaders) {
        headers.set(HEADER, Base64.getEncoder().encodeToString(encodeWire(this)))
    }

    companion object {
        private const val HEADER = "Gentiandale-Forwarded"

        /** Returns what [headers] contain, or null if that is nothing or unreadable. */
        fun read(headers: HttpHeaders): ForwardedRequest? = try {
            headers.get(HEADER)?.let { decodeWire<ForwardedRequest>(Base64.getDecoder().decode(it)) }
        } catch (_: IllegalArgumentException) {
            null
        }

        /** Removes from [headers] what only entry VMs may set. */
        fun removeFrom(headers: HttpHeaders) {
            headers.remove(HEADER)
        }
    }
}
