package gentiandale.standin.load

import gentiandale.core.CallOutcome
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class LoadSummaryTest : LoadFixture() {
    private fun report(vararg results: CallResult): LoadReport =
        LoadSummary(options).report(plan().zip(results.toList(), ::LoadSample))

    @Nested
    inner class Goodput {
        @Test
        fun `counts only answers that meet both latency targets`() {
            val total = report(
                CallResult.Answered(firstTokenMs = 90.0, gapsMs = listOf(10.0, 30.0)),
                CallResult.Answered(firstTokenMs = 110.0, gapsMs = listOf(10.0)),
                CallResult.Answered(firstTokenMs = 90.0, gapsMs = listOf(21.0)),
            ).total
            assertEquals(3, total.answered)
            assertEquals(1, total.withinTargets)
            assertEquals(0.05, total.goodputPerSecond)
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `are counted by kind`() {
            val total = report(
                CallResult.Wrong("x"),
                CallResult.Cut("x"),
                CallResult.Unreachable("x"),
                CallResult.Open,
                CallResult.Refused("overload", CallOutcome.NOT_RUN, afterMs = 5.0),
            ).total
            val counts = with(total) { listOf(wrong, cut, unreachable, open, refused) }
            assertEquals(listOf(1, 1, 1, 1, 1), counts)
        }

        @Test
        fun `group refusals by reason with the time to refusal`() {
            val refusals = report(
                CallResult.Refused("overload", CallOutcome.NOT_RUN, afterMs = 5.0),
                CallResult.Refused("overload", CallOutcome.NOT_RUN, afterMs = 7.0),
                CallResult.Refused("deadline", CallOutcome.UNKNOWN, afterMs = 9.0),
            ).refusals
            assertEquals(listOf("overload", "deadline"), refusals.map { it.reason })
            assertEquals(2, refusals.first().timeToRefusalMs.count)
        }
    }

    @Nested
    inner class Baseline {
        @Test
        fun `yields the latency that VMs add to direct calls`() {
            val samples = plan().take(2).mapIndexed { i, planned ->
                val direct = i == 1
                val ms = if (direct) 10.0 else 15.0
                LoadSample(
                    planned.copy(
                        target = planned.target.takeUnless {
                            direct
                        },
                    ),
                    CallResult.Answered(ms, listOf()),
                )
            }
            val added = assertNotNull(LoadSummary(options).report(samples).addedFirstToken)
            assertEquals(5.0, added.medianMs, absoluteTolerance = 0.1)
        }
    }
}
