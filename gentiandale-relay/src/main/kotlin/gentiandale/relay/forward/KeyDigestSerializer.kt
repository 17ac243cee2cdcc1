package gentiandale.relay.forward

import gentiandale.core.customer.KeyDigest
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.util.HexFormat

/** Writes a digest as hexadecimal text. */
internal object KeyDigestSerializer : KSerializer<KeyDigest> {
    override val descriptor = PrimitiveSerialDescriptor("KeyDigest", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: KeyDigest) =
        encoder.encodeString(HexFormat.of().formatHex(value.toByteArray()))

    override fun deserialize(decoder: Decoder): KeyDigest =
        KeyDigest.ofDigest(HexFormat.of().parseHex(decoder.decodeString()))
            ?: throw SerializationException("The digest has another length.")
}
