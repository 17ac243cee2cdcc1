package gentiandale.core.backend

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One crash of a server: the [incarnation] of [server] that ended. */
@Serializable
public data class CrashId(
    @SerialName("s") val server: ServerId,
    @SerialName("i") val incarnation: Incarnation,
)

/**
 * What the entry VMs know of one crash of a server.
 *
 * @param ageMs time in milliseconds since the crash, when the record was sent.
 * @param suspects traits of each request whose answer the server had just begun, or not yet begun.
 * @param cleared traits that a server has answered since, so that they did not cause the crash.
 * @param trialAgesMs time in milliseconds since the last trial of each trait that has had one after this crash.
 */
@Serializable
public data class CrashRecord(
    @SerialName("c") val id: CrashId,
    @SerialName("a") val ageMs: Long,
    @SerialName("u") val suspects: Set<List<RequestTrait>>,
    @SerialName("k") val cleared: Set<RequestTrait> = emptySet(),
    @SerialName("t") val trialAgesMs: Map<RequestTrait, Long> = emptyMap(),
)
