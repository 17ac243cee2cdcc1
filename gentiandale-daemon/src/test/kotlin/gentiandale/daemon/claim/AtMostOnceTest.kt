package gentiandale.daemon.claim

import com.linecorp.armeria.common.AggregatedHttpResponse
import gentiandale.daemon.FakeService
import gentiandale.daemon.FlakyStore
import gentiandale.daemon.FleetFixture
import gentiandale.daemon.ServiceFault
import gentiandale.daemon.StoreFault
import gentiandale.daemon.freePorts
import org.junit.jupiter.api.Nested
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
        http.execute(request(vm, "/services/orders/order", body, atMostOnce + ("idempotency-key" to key))).aggregate()

    private fun order(vm: Int, key: String, body: String = key): AggregatedHttpResponse = send(vm, key, body).join()

    private fun AggregatedHttpResponse.isUnknown() = "\"outcome\":\"unknown\"" in contentUtf8()

    private fun assertNotRun(response: AggregatedHttpResponse) {
        assertEquals(503, response.status().code())
        assertTrue("\"outcome\":\"not-run\"" in response.contentUtf8(), response.contentUtf8())
        assertNotNull(response.headers().get("retry-after"))
    }

    @Nested
    inner class RepeatedCall {
        @Test
        fun `gets the same answer through another VM`() {
            val first = order(0, "k")
            val second = order(1, "k")
            assertEquals(201, second.status().code())
            assertEquals(first.contentUtf8(), second.contentUtf8())
            assertEquals(1, service.total)
        }

        @Test
        fun `is refused as in progress while the first one runs`() {
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
        fun `is refused if its body differs`() {
            order(0, "k")
            assertEquals(422, order(1, "k", "another").status().code())
            assertEquals(1, service.total)
        }

        @Test
        fun `runs once although both VMs receive it many times concurrently`() {
            val answers = List(40) { send(it % 2, "k") }.map { it.join() }
            assertEquals(1, service.total)
            assertEquals(1, answers.filter { it.status().code() == 201 }.map { it.contentUtf8() }.distinct().size)
            assertTrue(answers.all { it.status().code() == 201 || it.isUnknown() })
        }
    }

    @Nested
    inner class LostReply {
        @Test
        fun `of the service gives an unknown outcome`() {
            service.faults += ServiceFault.LOSE_REPLY
            assertTrue(order(0, "k").isUnknown())
            assertTrue(order(1, "k").isUnknown())
            assertEquals(1, service.total)
        }

        @Test
        fun `of the claim prevents the call, and the key can be claimed again`() {
            store.faults += StoreFault.LOSE_REPLY
            assertNotRun(order(0, "k"))
            assertEquals(0, service.total)
            await("the key can be claimed") { order(1, "k").status().code() == 201 }
            assertEquals(1, service.total)
        }

        @Test
        fun `of the settlement is retried in the background`() {
            repeat(3) { store.settleFaults += StoreFault.LOSE }
            order(0, "k")
            await("the answer is stored") { order(1, "k").status().code() == 201 }
            assertEquals(1, service.total)
        }
    }

    @Nested
    inner class NotRun {
        @Test
        fun `is the outcome without a majority`() {
            store.faults += StoreFault.REFUSE
            assertNotRun(order(0, "k"))
            assertEquals(0, service.total)
            assertEquals(201, order(0, "k").status().code())
        }

        @Test
        fun `is the outcome if no server accepts the connection, and the key can be used again`() {
            val port = freePorts(1).single()
            announce(service.announcement.let { it.copy(facts = it.facts.copy(leaving = true)) })
            announce(FakeService.announcementOf("orders-2", port))
            assertNotRun(order(0, "k"))
            val late = closeAfterTest(FakeService("orders-2", port))
            await("the call runs") { order(1, "k").status().code() == 201 }
            assertEquals(1, late.total)
        }
    }

    @Nested
    inner class VmCrash {
        @Test
        fun `after the call was sent does not cause a second send`() {
            service.faults += ServiceFault.STALL
            send(0, "k")
            await("the call runs") { service.total == 1 }
            kill(0)
            assertTrue(order(1, "k").isUnknown())
            assertEquals(1, service.total)
        }
    }

    @Nested
    inner class IdempotencyKey {
        @Test
        fun `is generated and returned if the caller sends none`() {
            val first = post(0, "/services/orders/order", "b", atMostOnce)
            val key = assertNotNull(first.headers().get("idempotency-key"))
            assertEquals(first.contentUtf8(), order(1, key, "b").contentUtf8())
            assertEquals(1, service.total)
        }
    }

    @Nested
    inner class History {
        @Test
        fun `of many calls and faults has at most one run per key and none for a key with only not-run answers`() {
            val random = Random(SEED)
            repeat(30) {
                service.faults += ServiceFault.LOSE_REPLY
                store.faults += StoreFault.entries.random(random)
                store.settleFaults += StoreFault.entries.random(random)
            }
            val calls = List(200) { "k${random.nextInt(40)}" to random.nextInt(2) }
            val answers = calls.map { (key, vm) -> key to send(vm, key) }.map { (key, answer) -> key to answer.join() }
            assertTrue(service.runs.values.all { it == 1 }, "${service.runs}")
            answers.groupBy({ it.first }, { it.second }).forEach { (key, ofKey) ->
                val completed = ofKey.filter { it.status().code() == 201 }.map { it.contentUtf8() }
                assertTrue(completed.distinct().size <= 1, "$key got $completed")
                val neverRan = ofKey.all { "\"outcome\":\"not-run\"" in it.contentUtf8() }
                if (neverRan) assertEquals(null, service.runs[key])
            }
        }
    }

    private companion object {
        const val SEED = 11
        val atMostOnce = mapOf("x-gentian-repeatable" to "false")
    }
}
