package gentiandale.relay

import gentiandale.core.Address
import gentiandale.core.ServerId
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.RequestTrait
import gentiandale.core.backend.SoftwareVersion
import gentiandale.core.customer.CustomerName
import gentiandale.core.customer.KeyDigest
import gentiandale.core.log.LogEvent
import gentiandale.core.log.LogLine
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.forward.ForwardedRequest
import gentiandale.relay.placement.TakeUp
import gentiandale.relay.routing.KeyRefusal
import gentiandale.relay.upstream.GenerationSize
import gentiandale.relay.upstream.StrayAnswer

/** Log events of the relay. */
public sealed class RelayEvent(override val name: String) : LogEvent {
    override val part: String get() = "relay"

    /** A malformed request was refused with [status]. */
    public class Malformed(private val from: String?, private val status: Int) : RelayEvent("malformed") {
        override fun describe(line: LogLine) {
            line.field("from", from).field("status", status)
        }
    }

    /**
     * A request was refused on account of its key.
     *
     * @param key digest of the key, or null if there is no usable one.
     * @param version configuration by which this VM decided.
     * @param forwarded what the entry VM that has forwarded the request tells about it; null if it came from a caller.
     */
    public class KeyRefused internal constructor(
        private val request: String?,
        private val route: String,
        private val reason: KeyRefusal,
        private val key: KeyDigest?,
        private val version: Long?,
        private val forwarded: ForwardedRequest?,
    ) : RelayEvent("key-refused") {
        override val isFailure: Boolean get() = true

        override fun describe(line: LogLine) {
            line.field("request", request).field("route", route).field("reason", reason.label)
                .field("key_digest", key?.toString()).field("version", version)
                .field("forwarded_version", forwarded?.version)
        }
    }

    /** A request of a customer was not sent for lack of a recent proof that the configuration [version] is current. */
    public class LeaseMissing(
        private val request: String?,
        private val route: String,
        private val version: Long,
    ) : RelayEvent("lease-missing") {
        override val isFailure: Boolean get() = true

        override fun describe(line: LogLine) {
            line.field("request", request).field("route", route).field("version", version)
        }

        internal companion object {
            const val REASON = "no recent proof that the configuration is current"
        }
    }

    /** Handling [request] failed with [error], and the request was ended. */
    public class StepFailed(private val request: String?, private val error: Exception) : RelayEvent("step-failed") {
        override val isFailure: Boolean get() = true

        override fun describe(line: LogLine) {
            line.field("request", request).field("error", error.toString())
                .field("at", error.stackTrace.firstOrNull()?.toString())
        }
    }

    /**
     * A connection of a caller was closed by this VM because of [reason], or ended with an answer or a request left.
     *
     * @param caller last use of the connection.
     * @param isBusy whether a request was being read or served on it.
     * @param unserved complete requests that arrived on it and were not served.
     * @param isAnswerUnwritten whether the end of an answer had not been written to the socket.
     */
    public class CallerCut(
        private val from: String?,
        private val reason: String,
        private val caller: ConnectionUse,
        private val isBusy: Boolean,
        private val unserved: Int,
        private val isAnswerUnwritten: Boolean,
    ) : RelayEvent("caller-cut") {
        override fun describe(line: LogLine) {
            line.field("from", from).field("reason", reason).field("caller_connection", caller.connection)
                .field("caller_use", caller.use).field("busy", isBusy).field("unserved", unserved)
                .field("unwritten", isAnswerUnwritten)
        }
    }

    /**
     * A request was sent to a server.
     *
     * @param operation what the server is asked to do.
     * @param passedOver servers excluded because an earlier send of this request to them failed.
     * @param localLoad load of this VM at the server when it was chosen.
     * @param peerLoad load of the other VMs at the server, as last reported.
     * @param limit limit of the server in requests a second for all VMs together, or null if it has named none.
     * @param software version of the software of the server.
     */
    public class Placed(
        private val request: String?,
        private val route: String,
        private val version: Long,
        private val operation: String,
        private val localLoad: AssignedLoad,
        private val peerLoad: AssignedLoad,
        private val attempt: Int,
        private val passedOver: String?,
        private val leftMs: Long,
        private val limit: Double? = null,
        private val software: SoftwareVersion = SoftwareVersion.UNKNOWN,
    ) : RelayEvent("placed") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("route", route).field("version", version).field("step", operation)
                .field("server", localLoad.id.value).field("attempt", attempt).field("running", localLoad.running)
                .field("others_running", peerLoad.running)
                .field("memory_tokens", localLoad.memoryTokens).field("others_memory_tokens", peerLoad.memoryTokens)
                .field("passed_over", passedOver).field("left_ms", leftMs).field("limit_per_s", limit)
                .field("software", software.value.ifEmpty { null })
        }
    }

    /**
     * A caller takes up a stream that was broken off.
     *
     * @param first id of the request that brought its first event, or null if the caller doesn't state it.
     * @param lastEvent id of the last event that the caller has received, or null.
     * @param decision whether the stream may go on, and where.
     * @param waitedMs time in milliseconds until its origin was known.
     */
    public class TakenUp(
        private val request: String?,
        private val first: String?,
        private val lastEvent: String?,
        private val decision: TakeUp,
        private val waitedMs: Long,
    ) : RelayEvent("taken-up") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("first_request", first).field("last_event", lastEvent)
                .field("waited_ms", waitedMs).field("decision", decision.label)
            when (decision) {
                is TakeUp.GoOn ->
                    line.field("service", decision.origin.service.value)
                        .field("software", decision.origin.software.value).field("source", decision.source)
                is TakeUp.Refuse -> line.field("reason", decision.reason)
            }
        }
    }

    /** The server of [request], which runs [software], has sent the first event of a stream. */
    public class StreamBegun(
        private val request: String?,
        private val server: ServerId,
        private val software: SoftwareVersion,
    ) : RelayEvent("stream-begun") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("server", server.value).field("software", software.value)
        }
    }

    /**
     * A server failed or rejected a request.
     *
     * @param events events of a stream that this send has yielded, or null if none were expected.
     * @param use use of the connection, or null if the request was not sent.
     */
    public class SendFailed(
        private val request: String?,
        private val operation: String,
        private val server: ServerId,
        private val reason: String,
        private val elapsedMs: Long,
        private val events: Int? = null,
        private val use: ConnectionUse? = null,
    ) : RelayEvent("send-failed") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("step", operation).field("server", server.value)
                .field("reason", reason).field("elapsed_ms", elapsedMs).field("events", events)
                .field("connection", use?.connection).field("use", use?.use)
        }
    }

    /**
     * The server at [address] sent bytes that are not the answer which was due on its connection.
     *
     * @param expected id of the request whose answer was due, or null if none was.
     * @param received id in the answer that came, or null.
     */
    public class StrayAnswerRead(
        private val kind: StrayAnswer,
        private val address: Address,
        private val use: ConnectionUse,
        private val expected: String?,
        private val received: String?,
    ) : RelayEvent("stray-answer") {
        override fun describe(line: LogLine) {
            line.field("request", expected).field("kind", kind.label).field("address", address.toString())
                .field("connection", use.connection).field("use", use.use).field("received", received)
        }
    }

    /**
     * A server said in an answer that it leaves, or that it wants no requests for a while.
     *
     * @param kind what the server said.
     * @param restMs time in milliseconds for which this VM sends it no requests, or null.
     */
    public class ServerNotice(
        private val request: String?,
        private val server: BackendRow,
        private val kind: String,
        private val restMs: Long?,
    ) : RelayEvent("server-notice") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("server", server.id.value)
                .field("incarnation_of_server", server.incarnation.value).field("sequence", server.sequence)
                .field("kind", kind).field("rest_ms", restMs)
        }
    }

    /**
     * A server said something else than before about the requests that it takes from all VMs together.
     *
     * @param stated requests a second, as written in the answer, or null if the answer named no limit.
     * @param perSecond limit in force from now on in requests a second, or null if there is none.
     */
    public class LimitStated(
        private val request: String?,
        private val server: BackendRow,
        private val stated: String?,
        private val perSecond: Double?,
    ) : RelayEvent("limit-stated") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("server", server.id.value)
                .field("incarnation_of_server", server.incarnation.value).field("stated", stated)
                .field("limit_per_s", perSecond)
        }
    }

    /** Another VM has heard from a server the [statement] about its request limit. */
    public class LimitLearned(
        private val server: BackendRow,
        private val statement: LimitStatement,
    ) : RelayEvent("limit-learned") {
        override fun describe(line: LogLine) {
            line.field("server", server.id.value).field("incarnation_of_server", server.incarnation.value)
                .field("limit_per_s", statement.perSecond).field("age_ms", statement.ageMs)
        }
    }

    /**
     * A server refuses connections after it has broken the one of a request of this VM without an answer.
     *
     * @param fingerprint digest that is the same for requests that are the same word for word.
     */
    public class ServerCrashed(
        private val request: String?,
        private val fingerprint: String,
        private val server: BackendRow,
    ) : RelayEvent("server-crashed") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("fingerprint", fingerprint).field("server", server.id.value)
                .field("incarnation_of_server", server.incarnation.value).field("service", server.service.value)
                .field("kind", server.kind.name.lowercase())
        }
    }

    /**
     * The suspects of a crash of an engine have changed.
     *
     * @param kind `crash` for a suspect of this VM, `cleared` for traits that [server] has answered, `trial` for a
     *   request that is sent in spite of the suspicion, `learned` for news of another VM.
     * @param crashes number of known crashes.
     */
    public class CrashEvidence(
        private val kind: String,
        private val request: String?,
        private val server: ServerId?,
        private val record: CrashRecord,
        private val crashes: Int,
    ) : RelayEvent("crash-evidence") {
        override fun describe(line: LogLine) {
            val suspected = record.suspects.flatten().toSet() - record.cleared
            line.field("kind", kind).field("request", request).field("server", server?.value)
                .field("crashed", record.id.server.value).field("incarnation_of_server", record.id.incarnation.value)
                .field("age_ms", record.ageMs).field("suspects", record.suspects.size)
                .field("parts", suspected.take(MAX_LOGGED_PARTS).joinToString(",")).field("crashes", crashes)
        }
    }

    /**
     * Engine capacity was reserved for a generation.
     *
     * @param decode load of the decode server, including the reservation.
     * @param parts parts of the prompt that other requests may hold too.
     * @param waitedMs time in milliseconds since the request arrived.
     * @param ahead generations of this VM that are still queued.
     */
    public class Reserved(
        private val request: String?,
        private val decode: AssignedLoad,
        private val prefill: ServerId?,
        private val size: GenerationSize,
        private val need: GenerationMemory,
        private val parts: List<RequestTrait>,
        private val waitedMs: Long,
        private val ahead: Int,
    ) : RelayEvent("reserved") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("decode", decode.id.value).field("prefill", prefill?.value)
                .field("parts", parts.take(MAX_LOGGED_PARTS).joinToString(",").ifEmpty { null })
                .field("prompt_tokens", size.prompt).field("answer_limit", size.answer)
                .field("answer_hint", size.expected).field("answer_expected", need.expected)
                .field("running", decode.running)
                .field("memory_tokens", decode.memoryTokens).field("peak_tokens", decode.peakTokens)
                .field("waited_ms", waitedMs).field("ahead", ahead)
        }
    }

    /**
     * A server has sent no event of a stream for some time.
     *
     * @param events events of the stream that this send has yielded.
     * @param waitedMs time in milliseconds since the last event, or since the request was sent.
     * @param decision what this VM does about it.
     * @param reason why, if it goes on waiting.
     */
    public class StreamSilent(
        private val request: String?,
        private val server: ServerId,
        private val events: Int?,
        private val waitedMs: Long,
        private val decision: String,
        private val reason: String? = null,
    ) : RelayEvent("stream-silent") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("server", server.value).field("events", events)
                .field("waited_ms", waitedMs).field("decision", decision).field("reason", reason)
        }
    }

    /** A generation drops its reservation, since other VMs reserved the same capacity a moment earlier. */
    public class ReservationConflict(
        private val request: String?,
        private val decode: AssignedLoad,
        private val prefill: AssignedLoad?,
        private val times: Int,
    ) : RelayEvent("reservation-conflict") {
        override fun describe(line: LogLine) {
            line.field("request", request).field("decode", decode.id.value).field("running", decode.running)
                .field("memory_tokens", decode.memoryTokens).field("prefill", prefill?.id?.value)
                .field("prompt_tokens", prefill?.promptTokens).field("times", times)
        }
    }

    /**
     * A request got its final answer, or its caller disconnected.
     *
     * @param outcome how the request ended.
     * @param reason why the request was not answered, or null.
     * @param answer what the caller received.
     * @param caller use of the connection of the caller, or null.
     * @param customer customer that has sent it, or null if its route needs no key.
     */
    public class Ended(
        private val request: String?,
        private val route: String?,
        private val outcome: String,
        private val status: Int?,
        private val reason: String?,
        private val attempts: Int,
        private val elapsedMs: Long,
        private val answer: AnswerSummary = AnswerSummary(),
        private val caller: ConnectionUse? = null,
        private val customer: CustomerName? = null,
    ) : RelayEvent("ended") {
        override val isFailure: Boolean get() = outcome != "answered"

        override fun describe(line: LogLine) {
            line.field("request", request).field("route", route).field("outcome", outcome).field("status", status)
                .field("reason", reason).field("attempts", attempts).field("elapsed_ms", elapsedMs)
                .field("first_ms", answer.firstMs).field("last_event", answer.lastEvent).field("gap_ms", answer.gapMs)
                .field("framing", answer.framing?.label).field("connection", answer.source?.connection)
                .field("use", answer.source?.use).field("read_bytes", answer.readBytes)
                .field("sent_bytes", answer.sentBytes)
                .field("caller_connection", caller?.connection).field("caller_use", caller?.use)
                .field("customer", customer?.value)
        }
    }

    private companion object {
        const val MAX_LOGGED_PARTS = 8
    }
}
