package gentiandale.daemon.metrics

import gentiandale.core.Address
import gentiandale.core.Attempt
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.BoardKey
import gentiandale.core.CallOutcome
import gentiandale.core.CallerId
import gentiandale.core.Configuration
import gentiandale.core.ConfirmedConfiguration
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.KnownServer
import gentiandale.core.ManualClock
import gentiandale.core.ModelId
import gentiandale.core.RankId
import gentiandale.core.RecordId
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad
import gentiandale.core.StoredRecord
import gentiandale.core.VmId
import gentiandale.daemon.http.StatusService
import gentiandale.daemon.request.Answer
import gentiandale.route.RequestEvent
import gentiandale.route.RouteRequest
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class VmMetricsTest {
    private val board = Blackboard()
    private val clock = ManualClock(1_000)
    private val metrics = VmMetrics(board, clock)
    private val id = RequestId("r1")

    private fun request(rank: String = "urgent") = RouteRequest(
        request = id,
        caller = CallerId("c"),
        rank = RankId(rank),
        model = ModelId("m"),
        promptTokens = 40,
        maxTokens = 2,
        arrivedMs = clock.monotonicMs(),
        deadlineMs = clock.monotonicMs() + 60_000,
    )

    private fun run(answers: Flow<Answer>, rank: String = "urgent") =
        runBlocking { metrics.requests.watch(request(rank), answers).collect() }

    private fun answer(firstMs: Long, gapMs: Long): Flow<Answer> = flow {
        clock.advance(firstMs)
        emit(Answer.Token(0, "a"))
        clock.advance(gapMs)
        emit(Answer.Token(1, "b"))
        emit(Answer.Finished(2, "stop"))
    }

    private fun lines() = metrics.render().decodeToString().lines()

    private fun assertLine(line: String) = assertContains(lines(), line)

    @Nested
    inner class Goodput {
        @Test
        fun `counts answers within both latency targets of their rank`() {
            run(answer(firstMs = 600, gapMs = 70))
            run(answer(firstMs = 700, gapMs = 70))
            run(answer(firstMs = 600, gapMs = 80))
            assertLine("""gentiandale_goodput_total{rank="urgent"} 1.0""")
            assertLine("""gentiandale_requests_total{outcome="answered",rank="urgent"} 3.0""")
            assertLine("""gentiandale_first_token_seconds_count{rank="urgent"} 3""")
        }

        @Test
        fun `uses the targets of the active configuration`() {
            val record = StoredRecord(RecordId("rank", "urgent"), 1, 1, "order: 0\nfirst-token-ms: 100")
            board[Board.CONFIGURATION] = ConfirmedConfiguration(Configuration(1, listOf(record)))
            run(answer(firstMs = 600, gapMs = 70))
            assertFalse(lines().any { it.startsWith("gentiandale_goodput_total{") })
        }

        @Test
        fun `gives all ranks that are not configured the same label`() {
            run(answer(1, 1), rank = "made-up")
            assertLine("""gentiandale_goodput_total{rank="other"} 1.0""")
        }
    }

    @Nested
    inner class Outcomes {
        @Test
        fun `count refusals by reason and outcome`() {
            run(flow { emit(Answer.Refused(Refusal(RefusalReason.OVERLOAD, CallOutcome.NOT_RUN, "x"))) })
            assertLine("""gentiandale_refusals_total{outcome="not-run",reason="overload"} 1.0""")
            assertLine("""gentiandale_requests_total{outcome="refused",rank="urgent"} 1.0""")
        }

        @Test
        fun `count a caller that disconnects`() {
            runBlocking { metrics.requests.watch(request(), answer(1, 1)).first() }
            assertLine("""gentiandale_requests_total{outcome="left",rank="urgent"} 1.0""")
        }
    }

    @Nested
    inner class Prefills {
        private val prefilled = RequestEvent.Prefilled(id, Attempt.FIRST)
        private val failed = RequestEvent.Failed(id, Attempt.FIRST, ServerId("d"), sentTokens = 0)

        private fun progress(vararg events: RequestEvent) {
            metrics.prefills.submitted(request())
            events.forEach(metrics.prefills::progressed)
        }

        @Test
        fun `that lead to a token are not counted as wasted`() {
            progress(prefilled, RequestEvent.FirstToken(id, Attempt.FIRST), RequestEvent.Cancelled(id))
            assertLine("gentiandale_prefill_tokens_total 40.0")
            assertLine("gentiandale_prefill_tokens_wasted_total 0.0")
        }

        @Test
        fun `of failed and cancelled attempts without a token are counted as wasted`() {
            progress(prefilled, failed, prefilled, RequestEvent.Cancelled(id))
            assertLine("gentiandale_prefill_tokens_total 80.0")
            assertLine("gentiandale_prefill_tokens_wasted_total 80.0")
        }

        @Test
        fun `are removed from memory however the request ends`() {
            progress(RequestEvent.Answered(id, 2))
            progress(RequestEvent.Cancelled(id))
            progress(failed)
            metrics.prefills.refused(id)
            assertEquals(0, metrics.prefills.size)
        }
    }

    @Nested
    inner class Fleet {
        private val facts = ServerFacts(
            server = ServerId("d1"),
            incarnation = Incarnation(1),
            address = Address("127.0.0.1", 1),
            dataCentre = DataCentreId("dc-a"),
            kind = ServerKind.DECODE,
            model = ModelId("m"),
            places = 20,
        )

        private fun known(name: String, running: Int) =
            ServerId(name) to KnownServer(facts.copy(server = ServerId(name)), ServerLoad(running), clock.monotonicMs())

        @Test
        fun `sums places by data centre and kind`() {
            board[Board.SERVERS] = mapOf(known("d1", 3), known("d2", 4))
            assertLine("""gentiandale_places_held{data_centre="dc-a",kind="decode",serves="m"} 7.0""")
            assertLine("""gentiandale_places{data_centre="dc-a",kind="decode",serves="m"} 40.0""")
        }

        @Test
        fun `status shows the age of server reports, and other board entries by name`() {
            board[Board.SERVERS] = mapOf(known("d1", 3))
            board[BoardKey("leases", "none")] = "placement: vm-a1"
            clock.advance(25)
            val status = StatusService(VmId("vm-a1"), board, clock).status()
            assertEquals(25, status.servers.single().seenMsAgo)
            assertEquals(mapOf("leases" to "placement: vm-a1"), status.cells)
            assertEquals(null, status.confirmedMsAgo)
        }
    }
}
