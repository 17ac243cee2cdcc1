package gentiandale.route

import gentiandale.core.RankRecord
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class RanksTest {
    /** Keeps the places of one decode server full and completes one request at a time. */
    abstract class FullFleet : PolicyFixture(RELAXED_TARGET_FACTOR) {
        private val running = ArrayDeque<Effect.Place>()

        protected fun fill(rank: RankRecord, places: Int = 4) {
            start(prefills = places, decodes = 1, places = places, settings = policySettings { headroomMs = 0.0 })
            repeat(places) { running += submit(request(rank)).placed() }
            assertEquals(places, running.size)
        }

        /** Completes the oldest running request and returns the requests placed after it. */
        protected fun freeOne(tokens: (Effect.Place) -> Int = { 100 }): List<Effect.Place> {
            val oldest = running.removeFirst()
            now += 1
            prefilled(oldest)
            firstToken(oldest)
            val placed = answered(oldest, tokens(oldest)).placed()
            running += placed
            return placed
        }
    }

    @Nested
    inner class `Urgent work` : FullFleet() {
        @Test
        fun `takes the next free place before earlier routine work`() {
            fill(routine)
            val early = request(routine)
            val late = request(urgent)
            submit(early)
            submit(late)
            val placed = freeOne().single()
            assertEquals(late.request, placed.request)
            assertEquals(0, placed.priority)
            assertEquals(early.request, freeOne().single().request)
        }

        @Test
        fun `is placed in the headroom that routine work must leave free`() {
            start(prefills = 40, decodes = 1, places = 40)
            repeat(40) { submit(request(urgent)).placed().forEach(::answered) }
            val placed = (1..40).flatMap { submit(request(routine)).placed() }
            assertEquals(36, placed.size)
            assertEquals(1, submit(request(urgent)).placed().size)
        }

        @Test
        fun `preempts routine work if preemption is enabled`() {
            start(prefills = 2, decodes = 1, places = 1, settings = policySettings { preemption = true })
            val victim = submit(request(routine)).placed().single()
            val wanted = request(urgent)
            val effects = submit(wanted)
            assertEquals(victim.request, effects.filterIsInstance<Effect.Preempt>().single().request)
            assertEquals(wanted.request, effects.placed().single().request)
            assertTrue(policy.areReservationsConsistent())
        }
    }

    @Nested
    inner class `Routine work under urgent overload` : FullFleet() {
        @Test
        fun `keeps its minimum share`() {
            fill(urgent)
            var placed = 0
            repeat(200) {
                submit(request(urgent))
                submit(request(routine))
                placed += freeOne().count { it.priority == routine.order }
            }
            assertTrue(placed in 36..44, "$placed of 200")
        }
    }

    @Nested
    inner class `Routine work beside short urgent answers` : FullFleet() {
        @Test
        fun `keeps its share of the work actually done`() {
            fill(urgent)
            var placed = 0
            repeat(200) {
                submit(request(urgent))
                submit(request(routine))
                val freed = freeOne { if (it.priority == urgent.order) 10 else 100 }
                placed += freed.count { it.priority == routine.order }
            }
            assertTrue(placed in 10..17, "$placed of 200")
        }
    }

    @Nested
    inner class `Callers of one rank` : FullFleet() {
        @Test
        fun `do not wait behind the backlog of another`() {
            fill(routine)
            repeat(6) { submit(request(routine, caller = "large", promptTokens = 100)) }
            val small = request(routine, caller = "small", promptTokens = 100)
            submit(small)
            val order = (1..2).flatMap { freeOne() }.map { it.request }
            assertTrue(small.request in order)
        }

        @Test
        fun `share capacity by work and not by the number of requests`() {
            fill(routine)
            repeat(4) {
                submit(request(routine, caller = "long", promptTokens = 3_000, maxTokens = 10))
                submit(request(routine, caller = "short", promptTokens = 600, maxTokens = 10))
            }
            val prompts = (1..6).flatMap { freeOne() }.count { it.request.value.drop(1).toInt() % 2 == 1 }
            assertEquals(4, prompts)
        }
    }
}
