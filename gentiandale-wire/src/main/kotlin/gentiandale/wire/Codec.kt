package gentiandale.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** CBOR format of messages between processes. Ignores unknown fields, so that different versions can communicate. */
@OptIn(ExperimentalSerializationApi::class)
public val WireCbor: Cbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Encodes [value] as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public inline fun <reified T> encodeWire(value: T): ByteArray = WireCbor.encodeToByteArray(value)

/** Decodes a [T] from [bytes], or throws [kotlinx.serialization.SerializationException]. */
@OptIn(ExperimentalSerializationApi::class)
public inline fun <reified T> decodeWire(bytes: ByteArray): T = WireCbor.decodeFromByteArray(bytes)
