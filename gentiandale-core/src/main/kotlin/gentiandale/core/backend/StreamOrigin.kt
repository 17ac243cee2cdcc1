package gentiandale.core.backend

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Service and software version of the server that began a stream. The stream may go on only at servers of both. */
@Serializable
public data class StreamOrigin(
    @SerialName("s") val service: ServiceName,
    @SerialName("v") val software: SoftwareVersion,
)

/** The process [incarnation] of the server [id]. */
@Serializable
public data class ServerProcess(
    @SerialName("i") val id: ServerId,
    @SerialName("b") val incarnation: Incarnation,
)

/** Digest of the id of the request that brought the first event of a stream. */
@Serializable
@JvmInline
public value class StreamId(public val value: Long) {
    /** Factory for stream ids. */
    public companion object {
        /** Returns the stream that the request [id] began. */
        public fun of(id: String): StreamId =
            StreamId(ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(id.encodeToByteArray())).getLong())
    }
}

/** What is known about the origin of a stream. */
public sealed interface OriginLookup {
    /**
     * The stream began at [origin], as the VM [source] has recorded.
     *
     * @param unsettledMs time in milliseconds until the record is certain; 0 if it is.
     */
    public data class Found(
        val origin: StreamOrigin,
        val source: String,
        val unsettledMs: Long = 0,
    ) : OriginLookup

    /** Streams of different origins were recorded under the same id. */
    public data object Ambiguous : OriginLookup

    /**
     * All control VMs have answered, and none has a record.
     *
     * @param versions versions of all servers of the service that a control VM knows or has known recently.
     * @param isComplete whether most of these VMs have known all servers for longer than a stream lasts.
     */
    public data class NotRecorded(val versions: Set<SoftwareVersion>, val isComplete: Boolean) : OriginLookup

    /** Not all control VMs have answered in time, and those that have answered have no record. */
    public data object Unanswered : OriginLookup
}
