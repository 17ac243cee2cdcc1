package gentiandale.core.operator

import gentiandale.core.KnownVm
import gentiandale.core.ServerFacts
import gentiandale.core.ServerLoad
import gentiandale.core.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Response of `GET /v1/status`: the state of the system as one entry VM knows it.
 *
 * @param revision revision of the VM's current configuration.
 * @param confirmedMsAgo time since a majority last confirmed that revision, in milliseconds; null if never.
 * @param cells other cells of the VM's blackboard as text, by name, for example leases and orders.
 */
@Serializable
public data class Status(
    val vm: VmId,
    val draining: Boolean,
    val revision: Long,
    @SerialName("confirmed_ms_ago") val confirmedMsAgo: Long? = null,
    val vms: List<KnownVm> = emptyList(),
    val servers: List<ServerStatus> = emptyList(),
    val cells: Map<String, String> = emptyMap(),
)

/**
 * A backend server as one entry VM knows it.
 *
 * @param seenMsAgo time since the VM last heard from the server, in milliseconds.
 */
@Serializable
public data class ServerStatus(
    val facts: ServerFacts,
    val load: ServerLoad,
    @SerialName("seen_ms_ago") val seenMsAgo: Long,
)
