package gentiandale.standin

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.core.Address
import gentiandale.core.Attempt
import gentiandale.core.DataCentreId
import gentiandale.core.FencingNumber
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.engine.CancelRequest
import gentiandale.core.engine.DecodeEvent
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.EngineOrder
import gentiandale.core.engine.EnginePaths
import gentiandale.core.engine.PrefillReply
import gentiandale.core.engine.PrefillRequest
import gentiandale.standin.announce.ReportSchedule
import gentiandale.standin.engine.EngineOptions
import gentiandale.standin.engine.EngineReport
import gentiandale.standin.engine.EngineSpeeds
import gentiandale.standin.engine.EngineStandin
import gentiandale.standin.fault.Fault
import gentiandale.standin.fault.FaultPlan
import gentiandale.standin.service.ServiceStandin
import kotlin.test.AfterTest
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Base class of tests that start stand-ins on free ports and call them as an entry VM does. */
abstract class StandinFixture {
    protected val vm = FakeVm()
    private val started = mutableListOf<AutoCloseable>(vm)
    private val client = WebClient.builder().responseTimeoutMillis(TIMEOUT_MS).build()

    @AfterTest
    fun closeAll() = started.asReversed().forEach { it.close() }

    protected fun additionalVm(): FakeVm = FakeVm().also { started += it }

    protected fun engine(
        kind: ServerKind,
        places: Int = 4,
        checksFencing: Boolean = false,
        speeds: EngineSpeeds = FAST,
        vararg faults: Fault,
    ): EngineStandin {
        val facts = ServerFacts(
            server = ServerId(kind.name.lowercase()),
            incarnation = Incarnation(1),
            address = Address(HOST, 0),
            dataCentre = DataCentreId("dc-a"),
            kind = kind,
            model = ModelId(MODEL),
            places = places,
            memoryBlocks = 40,
            blockTokens = BLOCK_TOKENS,
            checksFencing = checksFencing,
        )
        val plan = FaultPlan(SEED, faults.associateWith { 1.0 })
        val options = EngineOptions(facts, ReportSchedule(listOf(vm.address), periodMs = 20), speeds, plan)
        return EngineStandin(options).also(::start)
    }

    protected fun service(vararg faults: Fault): ServiceStandin {
        val facts = ServerFacts(
            server = ServerId("orders"),
            incarnation = Incarnation(1),
            address = Address(HOST, 0),
            dataCentre = DataCentreId("dc-a"),
            kind = ServerKind.PLAIN,
            service = "work-orders",
            places = 4,
        )
        val plan = FaultPlan(SEED, faults.associateWith { 1.0 })
        return ServiceStandin(facts, ReportSchedule(listOf(vm.address), periodMs = 20), workMs = 1, plan).also(::start)
    }

    private fun start(standin: BackendStandin) {
        standin.start()
        started += standin
    }

    protected fun post(to: BackendStandin, path: String, body: String, key: String? = null): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(
            HttpMethod.POST,
            "http://$HOST:${to.port}$path",
        ).contentType(MediaType.JSON)
        key?.let { headers.add("idempotency-key", it) }
        return client.execute(headers.build(), HttpData.ofUtf8(body)).aggregate().join()
    }

    protected fun get(from: BackendStandin, path: String): String =
        client.get("http://$HOST:${from.port}$path").aggregate().join().contentUtf8()

    protected fun report(engine: EngineStandin): EngineReport =
        StandinJson.decodeFromString(EngineReport.serializer(), get(engine, "/standin/report"))

    protected fun prefillResponse(at: EngineStandin, prompt: String, request: String = "r1"): AggregatedHttpResponse {
        val body =
            PrefillRequest(RequestId(request), Attempt.FIRST, ModelId(MODEL), prompt = prompt, deadlineMs = TIMEOUT_MS)
        return post(at, EnginePaths.PREFILL, StandinJson.encodeToString(PrefillRequest.serializer(), body))
    }

    protected fun prefill(at: EngineStandin, prompt: String, request: String = "r1"): PrefillReply =
        StandinJson.decodeFromString(PrefillReply.serializer(), prefillResponse(at, prompt, request).contentUtf8())

    protected fun decodeBody(from: EngineStandin, prompt: String, tokens: Int, first: Int = 0): String {
        val body = DecodeRequest(
            request = RequestId("r1"),
            attempt = Attempt.FIRST,
            model = ModelId(MODEL),
            prompt = prompt,
            kvSource = "$HOST:${from.port}",
            kvHandle = "kv-r1-1",
            maxTokens = tokens,
            firstIndex = first,
            deadlineMs = TIMEOUT_MS,
        )
        return StandinJson.encodeToString(DecodeRequest.serializer(), body)
    }

    protected fun decode(at: EngineStandin, from: EngineStandin, prompt: String, tokens: Int, first: Int = 0) =
        eventsIn(post(at, EnginePaths.DECODE, decodeBody(from, prompt, tokens, first)).contentUtf8())

    protected fun decodeInBackground(at: EngineStandin, body: String) {
        val headers = RequestHeaders.of(HttpMethod.POST, "http://$HOST:${at.port}${EnginePaths.DECODE}")
        client.execute(headers, HttpData.ofUtf8(body)).aggregate()
    }

    protected fun cancel(at: EngineStandin): String {
        val body = CancelRequest(RequestId("r1"), Attempt.FIRST)
        return post(at, EnginePaths.CANCEL, StandinJson.encodeToString(CancelRequest.serializer(), body)).contentUtf8()
    }

    protected fun order(at: EngineStandin, fencing: Long): Int {
        val order = EngineOrder(FencingNumber(fencing), ModelId("chat-large"), "v$fencing")
        val body = StandinJson.encodeToString(EngineOrder.serializer(), order)
        return post(at, EnginePaths.ORDER, body).status().code()
    }

    protected fun await(failure: String, condition: () -> Boolean) {
        val end = System.nanoTime() + TIMEOUT_MS * NANOS_PER_MS
        while (!condition() && System.nanoTime() < end) Thread.sleep(POLL_INTERVAL_MS)
        assertTrue(condition(), failure)
    }

    protected fun assertComplete(events: List<DecodeEvent>, tokens: Int) {
        assertEquals((0..tokens).toList(), events.map { it.index })
        assertEquals("length", events.last().finish)
    }

    private fun eventsIn(stream: String): List<DecodeEvent> = stream.lines().filter { it.startsWith("data:") }
        .map { StandinJson.decodeFromString(DecodeEvent.serializer(), it.removePrefix("data:")) }

    protected companion object {
        const val HOST = "127.0.0.1"
        const val MODEL = "chat-small"
        const val SEED = 7L
        const val BLOCK_TOKENS = 4
        const val TIMEOUT_MS = 20_000L
        const val POLL_INTERVAL_MS = 10L
        const val NANOS_PER_MS = 1_000_000L
        val FAST = EngineSpeeds(tokenMs = 1.0, kvLifetimeMs = TIMEOUT_MS, loadMs = 1)
    }
}
