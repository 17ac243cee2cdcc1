package gentiandale.core.backend

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class OriginTableTest {
    private val old = StreamOrigin(ServiceName("drafts"), SoftwareVersion("v1"))
    private val new = StreamOrigin(ServiceName("drafts"), SoftwareVersion("v2"))
    private val table = OriginTable(maxEntries = 1_000)

    private fun find(stream: Long, nowMs: Long = 0) = table.find(StreamId(stream), nowMs, "vm")

    @Nested
    inner class Records {
        @Test
        fun `a stream is found with its origin, also one with the id 0`() {
            listOf(0L, 1L, -1L, Long.MIN_VALUE).forEach { id ->
                val fresh = OriginTable(10)
                fresh.record(StreamId(id), old, nowMs = 0, keepMs = 1_000)
                assertEquals(OriginLookup.Found(old, "vm"), fresh.find(StreamId(id), 0, "vm"))
                assertNull(fresh.find(StreamId(id + 7), 0, "vm"))
            }
        }

        @Test
        fun `a stream is not found after its time, and its id may begin at another origin then`() {
            table.record(StreamId(5), old, nowMs = 0, keepMs = 1_000)
            assertNull(find(5, nowMs = 2_000))
            table.record(StreamId(5), new, nowMs = 2_000, keepMs = 1_000)
            assertEquals(OriginLookup.Found(new, "vm"), find(5, nowMs = 2_500))
        }

        @Test
        fun `an id with two origins stays ambiguous until both have expired`() {
            table.record(StreamId(5), old, nowMs = 0, keepMs = 10_000)
            table.record(StreamId(5), new, nowMs = 0, keepMs = 1_000)
            table.record(StreamId(5), old, nowMs = 0, keepMs = 1_000)
            assertEquals(OriginLookup.Ambiguous, find(5, nowMs = 9_000))
        }
    }

    @Nested
    inner class Bounds {
        @Test
        fun `a full table drops new streams and loses none that it has recorded`() {
            val recorded = (1L..10_000).filter { table.record(StreamId(it), old, nowMs = 0, keepMs = 60_000) }
            assertTrue(recorded.size in 1_000..2_500, "${recorded.size} recorded")
            assertEquals(10_000L - recorded.size, table.dropped)
            recorded.forEach { assertEquals(OriginLookup.Found(old, "vm"), find(it)) }
        }

        @Test
        fun `a full table takes new streams again when old ones have expired`() {
            (1L..10_000).forEach { table.record(StreamId(it), old, nowMs = 0, keepMs = 1_000) }
            assertTrue(table.record(StreamId(20_000), new, nowMs = 5_000, keepMs = 1_000))
            assertEquals(OriginLookup.Found(new, "vm"), find(20_000, nowMs = 5_000))
        }

        @Test
        fun `random streams are found as in a map`() {
            val random = Random(7)
            val expected = HashMap<Long, StreamOrigin>()
            val large = OriginTable(maxEntries = 100_000)
            repeat(50_000) {
                val id = random.nextLong()
                val origin = if (random.nextBoolean()) old else new
                if (large.record(StreamId(id), origin, it.toLong(), keepMs = 100_000)) expected[id] = origin
            }
            assertEquals(50_000, expected.size)
            assertFalse(
                expected.any { (id, origin) ->
                    large.find(StreamId(id), 50_000, "vm") != OriginLookup.Found(origin, "vm")
                },
            )
        }
    }
}
