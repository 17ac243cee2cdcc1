package gentiandale.daemon.claim

import com.linecorp.armeria.common.AggregatedHttpResponse
import gentiandale.daemon.FakeService
import gentiandale.daemon.FlakyStore
import gentiandale.daemon.FleetFixture
import gentiandale.daemon.ServiceFault
import gentiandale.daemon.StoreFault
import org.junit.jupiter.api.Nested
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class AtMostOnceTest : FleetFixture() {
    private val store = FlakyStore()
    private val service = closeAfterTest(FakeService("orders-1"))

    @BeforeTest
    fun start() {
        startVms(2) { vmOf(it, store = store) }
        announce(service.announcement)
    }

    private fun send(vm: Int, key: String, body: String = key): CompletableFuture<AggregatedHttpResponse> =
        http.execute(request(vm, "/services/orders/order", body, mark + ("idempotency-key" to key))).aggregate()

    private fun order(vm: Int, key: String, body: String = key): AggregatedHttpResponse = send(vm, key, body).join()

    private fun AggregatedHttpResponse.isUnknown() = "\"outcome\":\"unknown\"" in contentUtf8()

    private fun assertNotRun(response: AggregatedHttpResponse) {
        assertEquals(503, response.status().code())
        assertTrue("\"outcome\":\"not-run\"" in response.contentUtf8(), response.contentUtf8())
        assertNotNull(response.headers().get("retry-after"))
    }

    @Nested
    inner class SecondAsk {
        @Test
        fun `gets the same answer through another VM`() {
            val first = order(0, "k")
            val second = order(1, "k")
            assertEquals(201, second.status().code())
            assertEquals(first.contentUtf8(), second.contentUtf8())
            assertEquals(1, service.total)
        }

        @Test
        fun `is told that the first one runs`() {
            service.faults += ServiceFault.STALL
            send(0, "k")
            await("the call runs") { service.total == 1 }
            val second = order(1, "k")
            assertEquals(409, second.status().code())
            assertTrue(second.isUnknown())
            assertNotNull(second.headers().get("retry-after"))
            assertEquals(1, service.total)
        }

        @Test
        fun `is refused with another body`() {
            order(0, "k")
            assertEquals(422, order(1, "k", "another").status().code())
            assertEquals(1, service.total)
        }

        @Test
        fun `runs once though both VMs are asked many times at once`() {
            val answers = List(40) { send(it % 2, "k") }.map { it.join() }
            assertEquals(1, service.total)
            assertEquals(1, answers.filter { it.status().code() == 201 }.map { it.contentUtf8() }.distinct().size)
            assertTrue(answers.all { it.status().code() == 201 || it.isUnknown() })
        }
    }

    @Nested
    inner class LostReply {
        @Test
        fun `of the service leaves the outcome unknown`() {
            service.faults += ServiceFault.LOSE_REPLY
            assertTrue(order(0, "k").isUnknown())
            assertTrue(order(1, "k").isUnknown())
            assertEquals(1, service.total)
        }

        @Test
        fun `of the claim sends nothing, and the key is free afterwards`() {
            store.faults += StoreFault.LOSE_REPLY
            assertNotRun(order(0, "k"))
            assertEquals(0, service.total)
            await("the key is free") { order(1, "k").status().code() == 201 }
            assertEquals(1, service.total)
        }

        @Test
        fun `of the settlement is mended in the background`() {
            repeat(3) { store.settleFaults += StoreFault.LOSE }
            order(0, "k")
            await("the answer is kept") { order(1, "k").status().code() == 201 }
            assertEquals(1, service.total)
        }
    }

    @Nested
    inner class NotRun {
        @Test
        fun `is said without a majority`() {
            store.faults += StoreFault.REFUSE
            assertNotRun(order(0, "k"))
            assertEquals(0, service.total)
            assertEquals(201, order(0, "k").status().code())
        }

        @Test
        fun `is said when nobody listens, and the key can be used again`() {
            val port = ServerSocket(0).use { it.localPort }
            announce(service.announcement.let { it.copy(facts = it.facts.copy(leaving = true)) })
            announce(FakeService.announcementOf("orders-2", port))
            assertNotRun(order(0, "k"))
            val late = closeAfterTest(FakeService("orders-2", port))
            await("the key runs") { order(1, "k").status().code() == 201 }
            assertEquals(1, late.total)
        }
    }

    @Nested
    inner class VmThatDies {
        @Test
        fun `after it has sent the call does not have it sent again`() {
            service.faults += ServiceFault.STALL
            send(0, "k")
            await("the call runs") { service.total == 1 }
            kill(0)
            assertTrue(order(1, "k").isUnknown())
            assertEquals(1, service.total)
        }
    }

    @Nested
    inner class Key {
        @Test
        fun `is made and returned if the caller has none`() {
            val first = post(0, "/services/orders/order", "b", mark)
            val key = assertNotNull(first.headers().get("idempotency-key"))
            assertEquals(first.contentUtf8(), order(1, key, "b").contentUtf8())
            assertEquals(1, service.total)
        }
    }

    @Nested
    inner class History {
        @Test
        fun `of many asks and faults has at most one run for each key, and every not-run is true`() {
            val random = Random(SEED)
            repeat(30) {
                service.faults += ServiceFault.LOSE_REPLY
                store.faults += StoreFault.entries.random(random)
                store.settleFaults += StoreFault.entries.random(random)
            }
            val asks = List(200) { "k${random.nextInt(40)}" to random.nextInt(2) }
            val answers = asks.map { (key, vm) -> key to send(vm, key) }.map { (key, answer) -> key to answer.join() }
            assertTrue(service.runs.values.all { it == 1 }, "${service.runs}")
            answers.groupBy({ it.first }, { it.second }).forEach { (key, all) ->
                val whole = all.filter { it.status().code() == 201 }.map { it.contentUtf8() }
                assertTrue(whole.distinct().size <= 1, "$key got $whole")
                val neverRan = all.all { "\"outcome\":\"not-run\"" in it.contentUtf8() }
                if (neverRan) assertEquals(null, service.runs[key])
            }
        }
    }

    private companion object {
        const val SEED = 11
        val mark = mapOf("x-gentian-repeatable" to "false")
    }
}
