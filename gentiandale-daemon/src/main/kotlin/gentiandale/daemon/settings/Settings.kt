package gentiandale.daemon.settings

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.RegionId
import gentiandale.core.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Settings of one daemon, read from its YAML file.
 *
 * @param http `host:port` on which callers, backend servers and operators connect.
 * @param peer `host:port` on which the other processes of the system connect.
 * @param dataFolder folder for durable state; only on VMs with a disk.
 * @param voter whether this VM is a voter of the replicated store; requires [dataFolder].
 */
@Serializable
public data class Settings(
    val vm: VmId,
    @SerialName("data-centre") val dataCentre: DataCentreId,
    val region: RegionId,
    val http: String,
    val peer: String,
    @SerialName("data-folder") val dataFolder: String? = null,
    val voter: Boolean = false,
    val peers: List<PeerSettings> = emptyList(),
    val limits: LimitSettings = LimitSettings(),
    val logs: LogSettings = LogSettings(),
)

/** Settings of another entry VM. */
@Serializable
public data class PeerSettings(
    val vm: VmId,
    @SerialName("data-centre") val dataCentre: DataCentreId,
    val region: RegionId,
    val http: String,
    val peer: String,
    val voter: Boolean = false,
)

/**
 * Limits and timeouts of one daemon.
 *
 * @param maxBodyBytes maximum size of the body of a call, in bytes.
 * @param defaultDeadlineMs deadline of a request without one, in milliseconds from its receipt.
 * @param serverTimeoutMs time without a report after which a backend server is considered gone, in milliseconds.
 * @param drainGraceMs time in milliseconds for which a VM that is shutting down still accepts calls, because a load
 *   balancer may go on sending.
 * @param drainLimitMs maximum duration of a graceful shutdown in milliseconds; 0 for no limit.
 */
@Serializable
public data class LimitSettings(
    @InRange(min = 1_024, max = 1_073_741_824)
    @SerialName("max-body-bytes")
    val maxBodyBytes: Long = 1_048_576,
    @InRange(min = 1, max = 3_600_000)
    @SerialName("default-deadline-ms")
    val defaultDeadlineMs: Long = 120_000,
    @InRange(min = 100, max = 600_000)
    @SerialName("server-timeout-ms")
    val serverTimeoutMs: Long = 3_000,
    @InRange(min = 0, max = 600_000)
    @SerialName("drain-grace-ms")
    val drainGraceMs: Long = 5_000,
    @InRange(min = 0, max = 86_400_000)
    @SerialName("drain-limit-ms")
    val drainLimitMs: Long = 0,
)

/** Settings of the logs. */
@Serializable
public data class LogSettings(val format: LogFormat = LogFormat.TEXT)

/** Format of a log line. */
@Serializable
public enum class LogFormat {
    /** One line of text. */
    @SerialName("text")
    TEXT,

    /** One JSON object per line. */
    @SerialName("json")
    JSON,
}

/** Returns the address in [text], which must have passed [SettingsRules]. */
internal fun parsedAddress(text: String): Address = requireNotNull(Address.parse(text)) { "'$text' is not host:port" }
