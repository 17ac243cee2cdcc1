package gentiandale.core.backend

import gentiandale.core.DataCentreId
import gentiandale.core.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The entry VM [vm] in [dataCentre], to which requests may be forwarded. */
@Serializable
public data class ForwardPeer(
    @SerialName("v") val vm: VmId,
    @SerialName("z") val dataCentre: DataCentreId,
)
