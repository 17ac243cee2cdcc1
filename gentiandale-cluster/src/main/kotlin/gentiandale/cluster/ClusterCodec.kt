package gentiandale.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/**
 * Encodes datagrams as CBOR. Labelled properties are written under their CBOR labels; unknown fields are skipped.
 */
@OptIn(ExperimentalSerializationApi::class)
public object ClusterCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

    /** Returns the CBOR encoding of [datagram]. */
    public fun encode(datagram: ClusterDatagram): ByteArray =
        cbor.encodeToByteArray(ClusterDatagram.serializer(), datagram)

    /** Returns the decoded datagram, or null if [bytes] are not a valid one. */
    public fun decode(bytes: ByteArray): ClusterDatagram? = try {
        cbor.decodeFromByteArray(ClusterDatagram.serializer(), bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
