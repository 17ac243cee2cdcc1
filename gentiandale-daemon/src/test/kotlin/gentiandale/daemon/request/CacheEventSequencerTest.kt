package gentiandale.daemon.request

import gentiandale.core.ServerId
import gentiandale.daemon.FleetFixture
import gentiandale.route.FleetEvent
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class CacheEventSequencerTest {
    private val server = ServerId("prefill-1")
    private val observed = mutableListOf<FleetEvent>()
    private val events = CacheEventSequencer(observed::add)

    private fun added(hash: Long) = FleetEvent.CacheChanged(server, listOf(hash), present = true)

    private fun accept(sequence: Long, hash: Long) = events.accept(CacheEvent(server, sequence, added = listOf(hash)))

    @Nested
    inner class Order {
        @Test
        fun `forwards events that arrive in sequence`() {
            accept(1, 10)
            accept(2, 20)
            assertEquals(listOf(FleetEvent.CacheGap(server), added(10), added(20)), observed)
        }

        @Test
        fun `reports a gap after a missed event`() {
            accept(1, 10)
            observed.clear()
            accept(3, 30)
            assertEquals(listOf(FleetEvent.CacheGap(server), added(30)), observed)
        }

        @Test
        fun `ignores a late or duplicate event`() {
            accept(1, 10)
            accept(3, 30)
            observed.clear()
            accept(2, 20)
            accept(3, 30)
            assertEquals(emptyList(), observed)
        }

        @Test
        fun `accepts the first event after a restart of the server`() {
            accept(1, 10)
            accept(2, 20)
            observed.clear()
            accept(1, 11)
            assertEquals(listOf(FleetEvent.CacheGap(server), added(11)), observed)
        }
    }

    @Nested
    inner class Http : FleetFixture() {
        @Test
        fun `accepts an event and rejects a malformed one`() {
            startVms()
            val event = """{"server":"prefill-0","sequence":1,"added":[1],"removed":[]}"""
            assertEquals(204, post(0, "/v1/cache-events", event).status().code())
            assertEquals(400, post(0, "/v1/cache-events", """{"server":"prefill-0"}""").status().code())
        }
    }
}
