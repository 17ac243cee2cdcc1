package gentiandale.fleet

import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.ForwardPeer
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.ReadSpeed
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.SoftwareVersion
import gentiandale.core.backend.StreamId
import gentiandale.core.backend.StreamOrigin
import gentiandale.core.capacity.CapacityRequest
import gentiandale.core.customer.QuotaAnswer
import gentiandale.core.customer.QuotaLevel
import gentiandale.core.customer.QuotaReport
import gentiandale.state.Document
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Message of the fleet channel. Any message may be lost, duplicated or reordered. */
@Serializable
public sealed interface FleetMessage {
    /**
     * Periodic subscription of an entry VM to a control VM.
     *
     * @param version version of the sender's configuration; 0 if it has none.
     * @param digest digest of the sender's table of backend servers.
     * @param speeds speeds at which engines have read prompts of the sender; null if they are not part of this message.
     * @param crashDigest digest of the crashes of engines that the sender knows; 0 if there are none.
     * @param dataCentre data centre of the sender; null if it is not part of this message, and always if the sender
     *   takes no forwarded requests.
     * @param number identifies the message in the answer of the leader; 0 if the sender needs no proof.
     */
    @Serializable
    @SerialName("s")
    public data class Subscribe(
        val version: Long,
        val digest: Long,
        val speeds: List<ReadSpeed>? = null,
        val crashDigest: Long = 0,
        val dataCentre: DataCentreId? = null,
        @SerialName("#") val number: Long = 0,
    ) : FleetMessage

    /**
     * Status that a control VM sends to its subscribers.
     *
     * @param version highest configuration version that the sender knows to be accepted; 0 if there is none.
     * @param controls control VMs that the sender has heard from recently.
     * @param entries number of entry VMs that have subscribed to the sender recently.
     * @param speeds speeds at which engines read prompts, as observed by these VMs; null if they are not part of this
     *   message.
     * @param crashDigest digest of the crashes of engines that the sender knows; 0 if there are none.
     * @param limits what servers have said about their request limits; null if that is not part of this message.
     * @param answered [Subscribe.number] that the leader of the replicated store answers to prove that [version] was
     *   the accepted one; 0 if the message proves nothing.
     * @param ageMs time in milliseconds since a majority last confirmed the leader that answers.
     */
    @Serializable
    @SerialName("n")
    public data class Notice(
        val version: Long,
        val controls: List<VmId>,
        val entries: Int,
        val speeds: List<ReadSpeed>? = null,
        val crashDigest: Long = 0,
        val limits: List<LimitStatement>? = null,
        @SerialName("#") val answered: Long = 0,
        @SerialName("t") val ageMs: Long = 0,
    ) : FleetMessage

    /**
     * Periodic state exchange between control VMs.
     *
     * @param loads load of all entry VMs on engines, as reported to the sender; empty if nothing was reported.
     */
    @Serializable
    @SerialName("g")
    public data class Gossip(
        val version: Long,
        val digest: Long,
        val controls: List<VmId>,
        val loads: List<AssignedLoad> = emptyList(),
    ) : FleetMessage

    /** Rows of backend servers, to be merged into the receiver's table. */
    @Serializable
    @SerialName("r")
    public data class Servers(val rows: List<BackendRow>) : FleetMessage

    /**
     * Load that the sending entry VM has placed on engines, and its calls in progress at plain servers. Servers that
     * are not listed have none.
     *
     * @param question identifier to be echoed in [PeerLoad.answered] with the load that others reported earlier; 0 if
     *   no reply is requested.
     * @param sequence number of this report, by which one that a later one has overtaken is ignored; 0 if none.
     * @param taken numbers of the requests whose grants the sender has received lately: the loads contain them, unless
     *   the request was not sent.
     */
    @Serializable
    @SerialName("l")
    public data class LocalLoad(
        val loads: List<AssignedLoad>,
        val question: Long = 0,
        val sequence: Long = 0,
        val taken: List<Long> = emptyList(),
    ) : FleetMessage

    /**
     * Load that the other entry VMs have placed on engines. Engines that are not listed are unchanged.
     *
     * @param answered [LocalLoad.question] that this message replies to; 0 if it is not a reply.
     */
    @Serializable
    @SerialName("o")
    public data class PeerLoad(val loads: List<AssignedLoad>, val answered: Long = 0) : FleetMessage

    /** Crashes of engines with their suspects, to be merged into the receiver's table. */
    @Serializable
    @SerialName("c")
    public data class Crashes(val records: List<CrashRecord>) : FleetMessage

    /** What backend servers have said about their request limits, to be merged into the receiver's knowledge. */
    @Serializable
    @SerialName("m")
    public data class Limits(val statements: List<LimitStatement>) : FleetMessage

    /** Message about permits for requests to servers that have named a limit. */
    @Serializable
    public sealed interface PermitMessage : FleetMessage

    /**
     * Requests of an entry VM need [wanted] permits for the server of [limit].
     *
     * @param via the entry VM and the control VMs that have passed the message on, without the sender; empty if the
     *   sender is the entry VM.
     */
    @Serializable
    @SerialName("w")
    public data class PermitRequest(
        val limit: LimitStatement,
        val wanted: Int,
        val via: List<VmId> = emptyList(),
    ) : PermitMessage

    /**
     * Permits for [count] requests to the [incarnation] of [server]; 0 if there are none at the moment.
     *
     * @param validMs time in milliseconds from the receipt after which the permits must not be used.
     * @param via VMs to which the receiver passes the message on, the next one last; empty if they are its own.
     */
    @Serializable
    @SerialName("t")
    public data class Permits(
        val server: ServerId,
        val incarnation: Incarnation,
        val count: Int,
        val validMs: Long,
        val via: List<VmId> = emptyList(),
    ) : PermitMessage

    /** Message about the quotas of customers. */
    @Serializable
    public sealed interface QuotaMessage : FleetMessage

    /**
     * Usage of customers at an entry VM, and its questions.
     *
     * @param via the entry VM and the control VMs that have passed the message on, without the sender; empty if the
     *   sender is the entry VM.
     */
    @Serializable
    @SerialName("qu")
    public data class QuotaUsage(val report: QuotaReport, val via: List<VmId> = emptyList()) : QuotaMessage

    /**
     * Answer of the issuer to [QuotaUsage], or its periodic statement to an entry VM.
     *
     * @param via VMs to which the receiver passes the message on, the next one last; empty if it is its own.
     */
    @Serializable
    @SerialName("qa")
    public data class QuotaReply(val answer: QuotaAnswer, val via: List<VmId> = emptyList()) : QuotaMessage

    /** Balances of all customers, which the issuer tells the other control VMs. */
    @Serializable
    @SerialName("ql")
    public data class QuotaLevels(val levels: List<QuotaLevel>) : QuotaMessage

    /** Message about the origin of streams. */
    @Serializable
    public sealed interface OriginMessage : FleetMessage

    /**
     * The sending entry VM has forwarded the first events of [streams], which began at servers of [origin].
     *
     * @param keepMs time in milliseconds for which callers may take the streams up.
     */
    @Serializable
    @SerialName("b")
    public data class Origins(
        val origin: StreamOrigin,
        val streams: List<StreamId>,
        val keepMs: Long,
    ) : OriginMessage

    /** Asks for the origin of [stream], or if that is null for the versions of the servers of [service] only. */
    @Serializable
    @SerialName("q")
    public data class OriginQuestion(
        val number: Long,
        val stream: StreamId?,
        val service: ServiceName,
    ) : OriginMessage

    /**
     * Answer to the [OriginQuestion] with the same number.
     *
     * @param origin recorded origin of the stream, or null if there is none.
     * @param isAmbiguous whether streams of different origins are recorded under this id.
     * @param versions versions of the servers of the service, also of those that have ended recently; not more than
     *   a few of them.
     * @param isComplete whether no other version can have served for as long as a stream may last.
     */
    @Serializable
    @SerialName("a")
    public data class OriginAnswer(
        val number: Long,
        val origin: StreamOrigin?,
        val isAmbiguous: Boolean,
        val versions: List<SoftwareVersion>,
        val isComplete: Boolean,
    ) : OriginMessage

    /**
     * Message between an entry VM and the control VM that holds the [CapacityQueue]. Control VMs pass it on if the two
     * don't reach each other.
     */
    @Serializable
    public sealed interface CapacityMessage : FleetMessage

    /** Message of an entry VM to the control VM that holds the queue. */
    @Serializable
    public sealed interface CapacityReport : CapacityMessage {
        /**
         * The entry VM and the control VMs that have passed the message on, without the sender; empty if the sender is
         * the entry VM.
         */
        public val via: List<VmId>

        /** Returns this message with the VMs [via]. */
        public fun passedBy(via: List<VmId>): CapacityReport
    }

    /** Message of the control VM that holds the queue to an entry VM. */
    @Serializable
    public sealed interface CapacityReply : CapacityMessage {
        /** VMs to which the receiver passes the message on, the next one last; empty if it is its own. */
        public val via: List<VmId>

        /** Returns this message for the VMs [via]. */
        public fun passedTo(via: List<VmId>): CapacityReply
    }

    /**
     * Requests that wait for capacity at an entry VM, repeated while they wait.
     *
     * @param question number of this message; one that was overtaken by a later one of the same entry VM is ignored.
     * @param avoided control VMs that have not answered the entry VM, and to which the message is not passed on.
     */
    @Serializable
    @SerialName("kq")
    public data class CapacityQuestion(
        val question: Long,
        val requests: List<CapacityRequest>,
        val avoided: List<VmId> = emptyList(),
        override val via: List<VmId> = emptyList(),
    ) : CapacityReport {
        override fun passedBy(via: List<VmId>): CapacityQuestion = copy(via = via)
    }

    /**
     * The requests with these [numbers] no longer wait.
     *
     * @param question number of this message among the questions of the same entry VM.
     */
    @Serializable
    @SerialName("kx")
    public data class CapacityCancellation(
        val question: Long,
        val numbers: List<Long>,
        override val via: List<VmId> = emptyList(),
    ) : CapacityReport {
        override fun passedBy(via: List<VmId>): CapacityCancellation = copy(via = via)
    }

    /** A [LocalLoad] that a control VM passes on to the one that holds the queue. */
    @Serializable
    @SerialName("kl")
    public data class CapacityLoad(
        val loads: List<AssignedLoad>,
        val sequence: Long,
        val taken: List<Long> = emptyList(),
        override val via: List<VmId> = emptyList(),
    ) : CapacityReport {
        override fun passedBy(via: List<VmId>): CapacityLoad = copy(via = via)
    }

    /** Confirms that the requests of a [CapacityQuestion] wait, except those that are answered otherwise. */
    @Serializable
    @SerialName("kw")
    public data class CapacityWaiting(val question: Long, override val via: List<VmId> = emptyList()) : CapacityReply {
        override fun passedTo(via: List<VmId>): CapacityWaiting = copy(via = via)
    }

    /**
     * There is capacity for the request [number].
     *
     * @param server server to use, or null if the entry VM chooses one.
     * @param validMs time in milliseconds from the receipt within which the request must be sent.
     */
    @Serializable
    @SerialName("kg")
    public data class CapacityGrant(
        val number: Long,
        val server: ServerId?,
        val validMs: Long,
        override val via: List<VmId> = emptyList(),
    ) : CapacityReply {
        override fun passedTo(via: List<VmId>): CapacityGrant = copy(via = via)
    }

    /**
     * There will be no capacity for the request [number] before its deadline.
     *
     * @param retryAfterMs time in milliseconds after which a retry has a chance.
     */
    @Serializable
    @SerialName("kr")
    public data class CapacityRefusal(
        val number: Long,
        val reason: String,
        val retryAfterMs: Long,
        override val via: List<VmId> = emptyList(),
    ) : CapacityReply {
        override fun passedTo(via: List<VmId>): CapacityRefusal = copy(via = via)
    }

    /** The requests [numbers] are of services without a queue; the entry VM places them by what it knows. */
    @Serializable
    @SerialName("kd")
    public data class CapacityDeclined(
        val numbers: List<Long>,
        override val via: List<VmId> = emptyList(),
    ) : CapacityReply {
        override fun passedTo(via: List<VmId>): CapacityDeclined = copy(via = via)
    }

    /**
     * Requests of [services] must ask for capacity, those of other services need not. Valid for a second; it is
     * repeated while there are such services.
     *
     * @param sequence number of this statement of its control VM; one that was overtaken by a later one is ignored.
     */
    @Serializable
    @SerialName("kc")
    public data class Contention(
        val services: List<ServiceName>,
        val sequence: Long,
        override val via: List<VmId> = emptyList(),
    ) : CapacityReply {
        override fun passedTo(via: List<VmId>): Contention = copy(via = via)
    }

    /** The engine [server] does not answer the sending entry VM. */
    @Serializable
    @SerialName("u")
    public data class Suspect(val server: ServerId) : FleetMessage

    /** The engine [server] changes its stage or does not answer, and gets no work for [forMs] milliseconds. */
    @Serializable
    @SerialName("p")
    public data class Pause(val server: ServerId, val forMs: Long) : FleetMessage

    /**
     * The sending entry VM reaches no server of [services], and some of all others. The receiver heeds a limited number
     * of services. A control VM that doesn't know this message ignores it, and the VM gets no peers from it.
     *
     * @param digest digest of the lists of peers that the sender has for them; 0 if it has none.
     */
    @Serializable
    @SerialName("e")
    public data class Unreached(val services: List<ServiceName>, val digest: Long = 0) : FleetMessage

    /** Answer to [Unreached]. */
    @Serializable
    public sealed interface ForwardPeersReply : FleetMessage

    /**
     * Answer to [Unreached] for one of its services, if the digests of the lists differ.
     *
     * @param peers entry VMs to which the receiver may forward requests of [service], the best first; empty if no entry
     *   VM reaches a server of it.
     */
    @Serializable
    @SerialName("v")
    public data class ForwardPeers(val service: ServiceName, val peers: List<ForwardPeer>) : ForwardPeersReply

    /** Answer to [Unreached] of a control VM whose lists of peers have the same [digest]. */
    @Serializable
    @SerialName("k")
    public data class ForwardPeersCurrent(val digest: Long) : ForwardPeersReply

    /** Requests the configuration if its version is higher than [above]. */
    @Serializable
    @SerialName("f")
    public data class Fetch(val above: Long) : FleetMessage

    /** The accepted configuration. */
    @Serializable
    @SerialName("d")
    public class Configuration(public val document: Document) : FleetMessage
}
