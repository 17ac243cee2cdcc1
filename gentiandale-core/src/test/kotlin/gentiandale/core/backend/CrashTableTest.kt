package gentiandale.core.backend

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CrashTableTest {
    private val table = CrashTable()

    private fun parts(text: String) = text.split(' ').filter { it.isNotEmpty() }.map(::RequestTrait)

    private fun crashId(number: Int) = CrashId(ServerId("d$number"), Incarnation(number.toLong()))

    /** Records the crash [number], at [nowMs] or as many times [INTERVAL_MS] after the start. */
    private fun crash(number: Int, vararg suspects: String, nowMs: Long = number * INTERVAL_MS) =
        suspects.forEach { table.onCrash(crashId(number), parts(it), nowMs) }

    private fun isRefused(text: String, nowMs: Long = DECISION_MS) = table.verdict(
        parts(text),
        nowMs,
    ) is QuarantineVerdict.Refuse

    @Nested
    inner class DeadlyParts {
        @Test
        fun `one crash excludes nothing`() {
            crash(1, "common deadly")
            assertEquals(QuarantineVerdict.Admit, table.verdict(parts("common deadly"), 0))
        }

        @Test
        fun `a part of two crashes is refused, and the verdict names it`() {
            crash(1, "a deadly")
            crash(2, "b deadly")
            val verdict = assertIs<QuarantineVerdict.Refuse>(table.verdict(parts("c deadly"), 500))
            assertEquals(RequestTrait("deadly"), verdict.trait)
            assertEquals(2, verdict.crashes)
            assertEquals(700, verdict.leftMs)
        }

        @Test
        fun `reports of several VMs on one crash count once`() {
            crash(1, "a deadly", "b deadly", "c deadly")
            assertTrue(!isRefused("d deadly"))
        }

        @Test
        fun `crashes of several servers at the same moment count once`() {
            crash(1, "a common", nowMs = 100)
            crash(2, "b common", nowMs = 105)
            crash(3, "c common", nowMs = 118)
            assertTrue(!isRefused("d common"))
            crash(4, "d common", nowMs = 200)
            assertTrue(isRefused("e common"))
        }

        @Test
        fun `a bystander of both crashes is no explanation for requests that it does not share`() {
            crash(1, "common deadly", "session")
            crash(2, "common deadly", "session")
            assertTrue(isRefused("common deadly"))
        }
    }

    @Nested
    inner class Trials {
        private fun isTrial(text: String, nowMs: Long) = table.verdict(parts(text), nowMs) is QuarantineVerdict.Trial

        @Test
        fun `one request is admitted a second after the second crash, the others wait for its result`() {
            crash(1, "again", nowMs = 0)
            crash(2, "again", nowMs = 500)
            assertTrue(isRefused("again", 1_499))
            assertTrue(isTrial("again", 1_500))
            table.onTrial(RequestTrait("again"), 1_500)
            assertTrue(isRefused("again", 1_510))
            assertTrue(isTrial("again", 2_500))
        }

        @Test
        fun `an answer to the trial clears the trait`() {
            crash(1, "again")
            crash(2, "again")
            table.onTrial(RequestTrait("again"), 1_200)
            table.onAnswered(parts("again"), 1_300)
            assertEquals(QuarantineVerdict.Admit, table.verdict(parts("again"), 1_400))
        }

        @Test
        fun `a deadly request crashes at most four servers`() {
            var crashes = 0
            (0L until CrashTable.RETENTION_MS step 100).forEach { now ->
                when (val verdict = table.verdict(parts("deadly"), now)) {
                    is QuarantineVerdict.Refuse -> return@forEach
                    is QuarantineVerdict.Trial -> table.onTrial(verdict.trait, now)
                    is QuarantineVerdict.Admit -> Unit
                }
                crash(++crashes, "deadly", nowMs = now)
            }
            assertEquals(4, crashes)
        }

        @Test
        fun `another VM that has heard of a trial waits as well`() {
            crash(1, "again")
            crash(2, "again")
            val other = CrashTable()
            table.records(900).forEach { other.merge(it, 900) }
            table.onTrial(RequestTrait("again"), 1_200).forEach { other.merge(it, 1_205) }
            assertIs<QuarantineVerdict.Refuse>(other.verdict(parts("again"), 1_300))
            assertEquals(table.digest(1_300), other.digest(1_300))
        }

        @Test
        fun `a record with a known trial changes nothing, however long it took`() {
            crash(1, "again")
            crash(2, "again")
            table.onTrial(RequestTrait("again"), 1_000)
            assertTrue(table.records(1_000).all { table.merge(it, 1_200) == null })
        }
    }

    @Nested
    inner class RepeatedRequests {
        private val again = RequestTrait.ofRequest("again").value

        @Test
        fun `a request that comes again is refused after two crashes, with parts and without`() {
            crash(1, again, "bystander")
            crash(2, again)
            assertTrue(isRefused(again))
            assertTrue(!isRefused("bystander"))
            crash(3, "common other")
            assertTrue(isRefused("common $again"))
        }

        @Test
        fun `two crashes by one request do not exclude others that share its parts`() {
            crash(1, "common $again")
            crash(2, "common $again")
            assertTrue(isRefused("common $again"))
            assertTrue(!isRefused("common ${RequestTrait.ofRequest("other").value}"))
        }

        @Test
        fun `a crash by another request with the same part decides that the part is deadly`() {
            crash(1, "deadly $again")
            crash(2, "deadly $again")
            crash(3, "deadly ${RequestTrait.ofRequest("other").value}")
            assertTrue(isRefused("deadly ${RequestTrait.ofRequest("third").value}"))
        }
    }

    @Nested
    inner class SoundParts {
        @Test
        fun `a request with only one of two equal suspects is admitted, since it tells them apart`() {
            crash(1, "common deadly")
            crash(2, "common deadly")
            assertTrue(isRefused("common deadly"))
            assertTrue(!isRefused("common"))
            assertTrue(!isRefused("deadly"))
        }

        @Test
        fun `an answered part is cleared, the other one is refused alone`() {
            crash(1, "common deadly")
            crash(2, "common deadly")
            assertEquals(2, table.onAnswered(parts("common"), 0).size)
            assertTrue(!isRefused("common"))
            assertTrue(isRefused("deadly"))
            assertTrue(isRefused("other deadly"))
        }

        @Test
        fun `a third crash decides which of two equal suspects is deadly`() {
            crash(1, "common deadly")
            crash(2, "common deadly")
            crash(3, "deadly")
            assertTrue(isRefused("deadly"))
            assertTrue(!isRefused("common"))
        }

        @Test
        fun `a cleared part is suspected again by later crashes`() {
            crash(1, "common")
            table.onAnswered(parts("common"), 0)
            crash(2, "common")
            assertTrue(!isRefused("common"))
            crash(3, "common")
            assertTrue(isRefused("common"))
        }

        @Test
        fun `crashes are forgotten`() {
            (1..4).forEach { crash(it, "deadly") }
            assertTrue(isRefused("deadly", CrashTable.RETENTION_MS - 1))
            val endMs = CrashTable.RETENTION_MS + 4 * INTERVAL_MS
            assertEquals(QuarantineVerdict.Admit, table.verdict(parts("deadly"), endMs))
        }
    }

    @Nested
    inner class Merging {
        private fun record(number: Int, suspects: Set<List<RequestTrait>>, cleared: Set<RequestTrait> = emptySet()) =
            CrashRecord(crashId(number), ageMs = number * 30L, suspects, cleared)

        @Test
        fun `the result does not depend on the order and number of records`() {
            val records = listOf(
                record(1, setOf(parts("a deadly"))),
                record(1, setOf(parts("b")), setOf(RequestTrait("b"))),
                record(2, setOf(parts("a deadly")), setOf(RequestTrait("a"))),
                record(1, setOf(parts("a deadly")), setOf(RequestTrait("a"))),
            )
            val digests = (0 until 50L).map { seed ->
                val merged = CrashTable()
                (records + records).shuffled(Random(seed)).forEach { merged.merge(it, 100) }
                assertIs<QuarantineVerdict.Refuse>(merged.verdict(parts("deadly"), 100))
                assertEquals(QuarantineVerdict.Admit, merged.verdict(parts("a b"), 100))
                merged.digest(100)
            }
            assertEquals(1, digests.toSet().size)
        }

        @Test
        fun `a known record changes nothing, an expired one is ignored`() {
            val known = record(1, setOf(parts("a")))
            assertEquals(known, table.merge(known, 50))
            assertNull(table.merge(known, 60))
            assertNull(table.merge(record(2, setOf(parts("a"))).copy(ageMs = CrashTable.RETENTION_MS), 60))
        }

        @Test
        fun `only what is new is passed on, however many suspects a crash has`() {
            repeat(20) { table.onCrash(crashId(1), parts("a$it"), 0) }
            assertEquals(record(1, setOf(parts("b"))).copy(ageMs = 5), table.onCrash(crashId(1), parts("b"), 5))
            val cleared = table.onAnswered(parts("b"), 9).single()
            assertEquals(setOf(RequestTrait("b")), cleared.cleared)
            assertTrue(cleared.suspects.isEmpty())
        }

        @Test
        fun `the age of a record survives its transfer, so that it is not kept alive by being passed on`() {
            table.onCrash(crashId(1), parts("a"), 1_000)
            val other = CrashTable()
            table.records(5_000).forEach { other.merge(it, 100_000) }
            assertEquals(1, other.records(96_000 + CrashTable.RETENTION_MS - 1).size)
            assertTrue(other.records(96_000 + CrashTable.RETENTION_MS).isEmpty())
        }

        @Test
        fun `requests without shared parts leave no record`() {
            assertNull(table.onCrash(crashId(1), emptyList(), 0))
            assertTrue(table.isEmpty)
        }

        @Test
        fun `the size is bounded, the oldest crash goes first`() {
            repeat(500) { number -> crash(number, (0 until 50).joinToString(" ") { "p$number-$it" }) }
            assertTrue(table.size <= 64)
            assertTrue(table.records(0).none { it.id == crashId(0) })
            assertTrue(table.records(0).any { it.id == crashId(499) })
        }
    }

    private companion object {
        const val INTERVAL_MS = 100L

        /** Shortly after the crashes of a test, and before the first trial. */
        const val DECISION_MS = 500L
    }
}
