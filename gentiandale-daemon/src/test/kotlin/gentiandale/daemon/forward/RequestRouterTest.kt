package gentiandale.daemon.forward

import gentiandale.core.CallOutcome
import gentiandale.core.CallerId
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.RankId
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.SystemClock
import gentiandale.core.VmId
import gentiandale.daemon.http.drainingRefusal
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.AnswerAnomalyCounters
import gentiandale.daemon.request.Completion
import gentiandale.daemon.request.RequestJournal
import gentiandale.daemon.request.retryBudget
import gentiandale.route.RouteRequest
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RequestRouterTest {
    private val self = VmId("entry")
    private val owners = listOf("a", "b", "c").map(::VmId)
    private val times = ForwardTimes(tickMs = 5, keepAliveMs = 20, leaseMs = 60, resendMs = 1_000)
    private val client: ForwardClient =
        ForwardClient(self, Incarnation(1), SystemClock, times, AnswerAnomalyCounters(), ::send)

    private val lookup = object : OwnerLookup {
        override fun ownerOf(model: ModelId, excluded: Set<VmId>): OwnerChoice =
            owners.firstOrNull { it !in excluded }?.let(OwnerChoice::Remote) ?: OwnerChoice.Unreachable

        override fun mayPlaceOn(facts: ServerFacts) = true
    }

    /** The first owner begins to answer and is lost; the others are draining. */
    private fun send(to: VmId, message: ForwardMessage) {
        if (message !is ForwardMessage.Open) return
        val answer = if (to == owners.first()) Answer.Token(0, "w0") else Answer.Refused(drainingRefusal())
        client.receive(message.session, ForwardMessage.Answers(message.session, 0, listOf(answer)))
    }

    private fun completion(): Completion {
        val now = SystemClock.monotonicMs()
        val route = RouteRequest(
            request = RequestId("r"),
            caller = CallerId("caller"),
            rank = RankId("rank"),
            model = ModelId("m"),
            promptTokens = 1,
            maxTokens = 2,
            arrivedMs = now,
            deadlineMs = now + DEADLINE_MS,
        )
        return Completion(route, "prompt")
    }

    @Test
    fun `a request that an owner has run is not refused as not run`() = runBlocking<Unit> {
        val journal = RequestJournal(self, SystemClock)
        val router = RequestRouter(lookup, client, retryBudget(), journal, SystemClock) { emptyFlow() }
        val answers = router.answers(completion()).toList()
        assertEquals(Answer.Token(0, "w0"), answers.first())
        assertEquals(CallOutcome.UNKNOWN, assertIs<Answer.Refused>(answers.last()).refusal.outcome)
    }

    private companion object {
        const val DEADLINE_MS = 5_000L
    }
}
