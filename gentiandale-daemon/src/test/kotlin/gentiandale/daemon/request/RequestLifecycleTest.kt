package gentiandale.daemon.request

import gentiandale.core.Address
import gentiandale.core.Attempt
import gentiandale.core.CallOutcome
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.RequestId
import gentiandale.core.ServerId
import gentiandale.core.engine.DecodeEvent
import gentiandale.core.engine.PrefillReply
import gentiandale.route.RequestEvent
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Applies events to a [RequestLifecycle] and records the resulting commands. */
private class LifecycleHarness {
    val id = RequestId("r")
    var lifecycle = RequestLifecycle(id)
    val commands = mutableListOf<LifecycleCommand>()
    val answers get() = commands.filterIsInstance<LifecycleCommand.Deliver>().map { it.answer }
    val tokens get() = answers.filterIsInstance<Answer.Token>().map { it.index }
    val anomalies get() = commands.filterIsInstance<LifecycleCommand.CountAnomaly>().map { it.kind }

    fun feed(event: LifecycleEvent, mayRetry: Boolean = true): List<LifecycleCommand> {
        val transition = lifecycle.advance(event, mayRetry)
        lifecycle = transition.next
        commands += transition.commands
        return transition.commands
    }

    fun target(name: String) = Target(ServerId(name), Address("127.0.0.1", 1))

    fun place(attempt: Int = 1, suffix: String = "") =
        LifecycleEvent.Placed(Placement(Attempt(attempt), target("p$suffix"), target("d$suffix")))

    fun reply(attempt: Int = 1, request: RequestId = id) =
        LifecycleEvent.PrefillReplied(
            Attempt(attempt),
            PrefillReply(request, Attempt(attempt), "kv", 1, expiresInMs = 9),
        )

    fun token(index: Int, attempt: Int = 1, request: RequestId = id) =
        LifecycleEvent.DecodeReceived(DecodeEvent(request, Attempt(attempt), index, "w$index"))

    fun finish(index: Int, attempt: Int = 1, reason: String = "length") =
        LifecycleEvent.DecodeReceived(DecodeEvent(id, Attempt(attempt), index, finish = reason))

    fun decoding(attempt: Int = 1, suffix: String = "") {
        feed(place(attempt, suffix))
        feed(LifecycleEvent.PrefillSent(Attempt(attempt)))
        feed(reply(attempt))
        feed(LifecycleEvent.DecodeOpened(Attempt(attempt)))
    }
}

class RequestLifecycleTest {
    private val harness = LifecycleHarness()

    @Nested
    inner class WholeAnswer {
        @Test
        fun `delivers tokens in order although they arrive out of order`() {
            harness.decoding()
            listOf(1, 0, 3, 2).forEach { harness.feed(harness.token(it)) }
            harness.feed(harness.finish(4))
            assertEquals(listOf(0, 1, 2, 3), harness.tokens)
            assertEquals(Answer.Finished(4, "length"), harness.answers.last())
            assertEquals(listOf(AnswerAnomaly.OUT_OF_ORDER, AnswerAnomaly.OUT_OF_ORDER), harness.anomalies)
        }

        @Test
        fun `does not end before the last token has arrived`() {
            harness.decoding()
            harness.feed(harness.token(0))
            harness.feed(harness.finish(2))
            assertIs<RequestState.Decoding>(harness.lifecycle.state)
            harness.feed(harness.token(1))
            assertEquals(listOf(0, 1), harness.tokens)
            assertEquals(RequestState.Answered, harness.lifecycle.state)
        }

        // Guards against an engine's abort that is passed on as the end of a complete answer.
        @Test
        fun `does not end for another reason than stop or length`() {
            harness.decoding()
            harness.feed(harness.token(0))
            harness.feed(harness.finish(1, reason = "abort"))
            assertEquals(RequestState.Queued, harness.lifecycle.state)
            harness.decoding(attempt = 2, suffix = "2")
            harness.feed(harness.token(1, attempt = 2))
            harness.feed(harness.finish(2, attempt = 2, reason = "stop"))
            assertEquals(listOf(0, 1), harness.tokens)
            assertEquals(Answer.Finished(2, "stop"), harness.answers.last())
        }

        @Test
        fun `drops duplicate, late and misdirected events`() {
            harness.decoding()
            harness.feed(harness.token(0))
            harness.feed(harness.token(0))
            harness.feed(harness.token(1, request = RequestId("other")))
            harness.feed(harness.token(1, attempt = 7))
            harness.feed(LifecycleEvent.StepFailed(Attempt(1), "broken"))
            harness.decoding(attempt = 2)
            harness.feed(harness.token(1, attempt = 1))
            assertEquals(listOf(0), harness.tokens)
            assertEquals(
                listOf(
                    AnswerAnomaly.DOUBLED,
                    AnswerAnomaly.MISDIRECTED,
                    AnswerAnomaly.MISDIRECTED,
                    AnswerAnomaly.LATE,
                ),
                harness.anomalies,
            )
        }

        @Test
        fun `resumes at the first missing token after a failed attempt`() {
            harness.decoding()
            harness.feed(harness.token(0))
            harness.feed(harness.token(2))
            harness.feed(LifecycleEvent.StepFailed(Attempt(1), "broken"))
            harness.decoding(attempt = 2, suffix = "2")
            assertEquals(1, harness.commands.filterIsInstance<LifecycleCommand.Decode>().last().firstIndex)
            listOf(1, 2).forEach { harness.feed(harness.token(it, attempt = 2)) }
            harness.feed(harness.finish(3, attempt = 2))
            assertEquals(listOf(0, 1, 2), harness.tokens)
            assertEquals(RequestState.Answered, harness.lifecycle.state)
        }

        @Test
        fun `does not decode from the KV cache of another request`() {
            harness.feed(harness.place())
            harness.feed(harness.reply(request = RequestId("other")))
            assertEquals(RequestState.Queued, harness.lifecycle.state)
            assertTrue(harness.commands.none { it is LifecycleCommand.Decode })
        }
    }

    @Nested
    inner class RefusalOutcome {
        private val refusal = Refusal(RefusalReason.NO_SERVER, CallOutcome.NOT_RUN, "no server")

        private fun outcome() = assertIs<Answer.Refused>(harness.answers.single()).refusal.outcome

        @Test
        fun `is not-run if nothing was sent`() {
            harness.feed(LifecycleEvent.PolicyRefused(refusal))
            assertEquals(CallOutcome.NOT_RUN, outcome())
        }

        @Test
        fun `is unknown once a server may have received the request`() {
            harness.feed(harness.place())
            harness.feed(LifecycleEvent.StepFailed(Attempt(1), "broken"))
            harness.feed(LifecycleEvent.PolicyRefused(refusal))
            assertEquals(CallOutcome.UNKNOWN, outcome())
        }

        @Test
        fun `is final if the retry budget is exhausted`() {
            harness.decoding()
            harness.feed(LifecycleEvent.StepFailed(Attempt(1), "broken"), mayRetry = false)
            assertEquals(RequestState.Refused, harness.lifecycle.state)
            assertTrue(LifecycleCommand.NotifyPolicy(RequestEvent.Cancelled(harness.id)) in harness.commands)
        }
    }

    @Nested
    inner class Release {
        private fun cancelled(commands: List<LifecycleCommand>) =
            commands.filterIsInstance<LifecycleCommand.Cancel>().map { it.target.server.value }

        @Test
        fun `cancels at both servers if the caller disconnects during the decode`() {
            harness.decoding()
            assertEquals(listOf("p", "d"), cancelled(harness.feed(LifecycleEvent.CallerLeft)))
        }

        @Test
        fun `cancels the prefill on its timeout but not on that of an earlier timer`() {
            harness.feed(harness.place())
            assertTrue(harness.feed(LifecycleEvent.TimedOut(harness.lifecycle.timerId - 1)).isEmpty())
            assertEquals(listOf("p"), cancelled(harness.feed(LifecycleEvent.TimedOut(harness.lifecycle.timerId))))
        }

        @Test
        fun `leaves no work at any server after a random sequence of events`() {
            repeat(SEQUENCES) { seed -> checkSequence(Random(seed)) }
        }

        private fun checkSequence(random: Random) {
            val run = LifecycleHarness()
            var attempt = 0
            val held = mutableSetOf<Pair<String, Int>>()
            repeat(STEPS) {
                val latest = maxOf(attempt, 1)
                val recent = (latest - random.nextInt(2)).coerceAtLeast(1)
                if (run.lifecycle.state == RequestState.Queued) attempt++
                val event = when (random.nextInt(12)) {
                    0, 1, 2 -> run.place(maxOf(attempt, 1), random.nextInt(3).toString())
                    3 -> LifecycleEvent.PrefillSent(Attempt(recent))
                    4, 5 -> run.reply(recent)
                    6 -> LifecycleEvent.DecodeOpened(Attempt(recent))
                    7, 8 -> run.token(random.nextInt(4), recent)
                    9 -> if (random.nextInt(4) == 0) run.finish(random.nextInt(4), recent) else run.token(0, recent)
                    10 -> LifecycleEvent.StepFailed(Attempt(recent), "broken")
                    else -> LifecycleEvent.TimedOut(run.lifecycle.timerId - random.nextInt(2))
                }
                trackHeld(run, run.feed(event, mayRetry = random.nextInt(10) > 0), held)
            }
            trackHeld(run, run.feed(LifecycleEvent.CallerLeft), held)
            assertTrue(held.isEmpty(), "$held still held after ${run.commands}")
            assertEquals(run.tokens.indices.toList(), run.tokens)
            assertTrue(run.answers.count { it !is Answer.Token } <= 1)
        }

        private fun trackHeld(
            run: LifecycleHarness,
            commands: List<LifecycleCommand>,
            held: MutableSet<Pair<String, Int>>,
        ) {
            commands.forEach { command ->
                when (command) {
                    is LifecycleCommand.Prefill ->
                        held += command.placement.prefill.server.value to command.placement.attempt.value
                    is LifecycleCommand.Decode ->
                        held += command.placement.decode.server.value to command.placement.attempt.value
                    is LifecycleCommand.Cancel -> held.removeIf {
                        it.first == command.target.server.value && it.second <= command.engineAttempt.value
                    }
                    else -> Unit
                }
            }
            if (run.lifecycle.state == RequestState.Answered) held.clear()
        }
    }

    private companion object {
        const val SEQUENCES = 2_000
        const val STEPS = 40
    }
}
