package gentiandale.core.backend

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a backend server has said about the requests that it takes from all entry VMs together.
 *
 * @param incarnation the process of [server] that said it; a limit does not apply to another one.
 * @param perSecond requests a second, or null if the server takes any number.
 * @param ageMs time in milliseconds since it was said, when the statement was sent.
 */
@Serializable
public data class LimitStatement(
    @SerialName("s") val server: ServerId,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("l") val perSecond: Double?,
    @SerialName("a") val ageMs: Long = 0,
) {
    /** Limits of statements. */
    public companion object {
        /** Time in milliseconds after which a statement is dropped if no answer of the server has repeated it. */
        public const val RETENTION_MS: Long = 60_000
    }
}
