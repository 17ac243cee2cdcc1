package gentiandale.wire

import gentiandale.core.VmId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * One message between two processes.
 *
 * @param from the VM that sent it.
 * @param channel channel whose handler receives it.
 * @param call number of the call that it starts or answers; 0 for a message without a reply.
 * @param reply whether it answers a call.
 * @param payload message of the channel as CBOR.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class Envelope(
    public val from: VmId,
    public val channel: Channel,
    public val call: Long,
    public val reply: Boolean,
    @ByteString public val payload: ByteArray,
)
