package gentiandale.daemon

import com.linecorp.armeria.common.AggregatedHttpResponse
import gentiandale.daemon.settings.LimitSettings
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class DrainTest : FleetFixture() {
    private fun start(vms: Int = 1, graceMs: Long = 300) =
        startVms(
            vms,
            LimitSettings(maxBodyBytes = 2L * LARGE_BYTES, serverTimeoutMs = 600_000, drainGraceMs = graceMs),
        )

    private fun drain(vm: Int, limitMs: Long = 0) =
        assertEquals(202, post(vm, "/v1/drain", """{"limit_ms":$limitMs}""").status().code())

    private fun stopWhenDrained(vm: Int) = runBlocking {
        vms[vm].awaitDrained()
        assertEquals(0, vms[vm].runningCalls + vms[vm].pendingRequests)
        vms[vm].close()
    }

    private fun awaitDecoding() = await("decode began") { decodes.any { it.held.isNotEmpty() } }

    @Nested
    inner class GracefulShutdown {
        @Test
        fun `reports not ready at once and still serves new calls`() {
            start(graceMs = 60_000)
            assertEquals(200, get(0, "/readyz").status().code())
            drain(0)
            assertEquals(503, get(0, "/readyz").status().code())
            assertComplete(complete())
        }

        @Test
        fun `lets running streams finish`() {
            start()
            decodes.forEach { it.tokenMs = 20 }
            val responses = List(10) { open(tokens = 60).aggregate() }
            awaitDecoding()
            drain(0)
            stopWhenDrained(0)
            responses.forEach { assertComplete(it.join(), tokens = 60) }
        }

        @Test
        fun `lets running forwarded streams finish`() {
            start(vms = 2)
            awaitOwner()
            val leaving = owner
            decodes.forEach { it.tokenMs = 20 }
            val responses = List(10) { open(vm = nonOwner, tokens = 60).aggregate() }
            awaitDecoding()
            drain(leaving)
            stopWhenDrained(leaving)
            responses.forEach { assertComplete(it.join(), tokens = 60) }
            assertTrue(decodes.all { engine -> engine.decodes.all { it.firstIndex == 0 } })
        }

        @Test
        fun `lets running plain calls finish and delivers their responses`() {
            start()
            val service = closeAfterTest(FakeService("orders-1"))
            announce(service.announcement)
            service.delayMs = 800
            val call = request(0, "/services/orders/order", "b", mapOf("idempotency-key" to "k"))
            val response = http.execute(call).aggregate()
            await("the call runs") { service.total == 1 }
            drain(0)
            stopWhenDrained(0)
            assertEquals(201, response.join().status().code())
        }

        // Guards against the end of a process that still has a part of a response to send.
        @Test
        fun `does not end before a caller that reads slowly has received its response`() {
            start()
            val service = closeAfterTest(FakeService("orders-1"))
            announce(service.announcement)
            SlowCaller(vms[0].httpPort).use { caller ->
                caller.post("/services/orders/order", "b".repeat(LARGE_BYTES))
                await("the call has run") { service.total == 1 }
                drain(0)
                assertNull(runBlocking { withTimeoutOrNull(SLOW_READ_MS) { vms[0].awaitDrained() } })
                assertTrue("b ran 1 on orders-1\r\n0\r\n\r\n" in caller.readResponse())
                stopWhenDrained(0)
            }
        }

        @Test
        fun `interrupts no answer while a load balancer still sends calls`() {
            start(vms = 2)
            val answers = mutableListOf<CompletableFuture<AggregatedHttpResponse>>()
            val sending = AtomicBoolean(true)
            val balancer = thread {
                while (sending.get()) {
                    answers += open(vm = 0, tokens = 20).aggregate()
                    Thread.sleep(3)
                }
            }
            await("calls are being sent") { answers.size > 20 }
            drain(0)
            await("the grace period has passed") { vms[0].refusesCalls }
            sending.set(false)
            balancer.join()
            stopWhenDrained(0)
            answers.map { it.join() }.forEach {
                if (it.status().code() == 503) {
                    val refusal = it.contentUtf8()
                    assertTrue("\"reason\":\"draining\"" in refusal && "\"outcome\":\"not-run\"" in refusal, refusal)
                } else {
                    assertComplete(it, tokens = 20)
                }
            }
        }

        @Test
        fun `ends at its limit although work is running`() {
            start()
            decodes.forEach { it.tokenMs = 100 }
            val response = open(tokens = 10_000)
            awaitDecoding()
            drain(0, limitMs = 400)
            runBlocking { vms[0].awaitDrained() }
            assertTrue(vms[0].runningCalls > 0)
            response.abort()
        }
    }

    private companion object {
        /** More than the sockets of both sides buffer. */
        const val LARGE_BYTES = 8 * 1_048_576
        const val SLOW_READ_MS = 1_500L
    }
}
