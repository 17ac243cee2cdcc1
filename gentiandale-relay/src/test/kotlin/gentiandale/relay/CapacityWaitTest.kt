package gentiandale.relay

import gentiandale.core.ServerId
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServiceName
import gentiandale.core.capacity.CapacityAnswer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Plain calls of a service with fewer places than entry VMs. */
class CapacityWaitTest {
    private val relay = RelayFixture(maxConnections = MAX_CONNECTIONS)
    private val queue get() = relay.capacity

    private val callers = Executors.newCachedThreadPool()

    @AfterEach
    fun close() {
        relay.close()
        callers.shutdownNow()
    }

    private fun reply(request: RawRequest, socket: Socket) = FakeServer.reply(socket, request, "ran")

    private fun server(id: String) = relay.server(id, answer = ::reply)

    private fun contend() = relay.share(ENTRY_VMS, isContended = true)

    private fun call(target: String = "/safe/1", id: String = "r1") =
        CompletableFuture.supplyAsync({ relay.get(target, id = id) }, callers)

    private fun answerOf(call: CompletableFuture<String>) = call.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)

    private fun settle() = Thread.sleep(SETTLE_MS)

    @Nested
    inner class Uncontended {
        /** Guards against messages and waits while there is capacity. */
        @Test
        fun `a call is sent without asking`() {
            server("a")
            relay.share(ENTRY_VMS, isContended = false)
            assertTrue(relay.get("/safe/1").endsWith("ran"))
            assertEquals(0, queue.asked.size)
        }

        /** Guards against a control VM that knows nothing of the calls at plain servers. */
        @Test
        fun `calls in progress are reported, and only where the places are few`() {
            relay.server("a") { request, socket ->
                Thread.sleep(SETTLE_MS * 4)
                reply(request, socket)
            }
            val before = call()
            settle()
            assertEquals(emptyList(), relay.pendingWork().first)
            answerOf(before)
            assertEquals(0, relay.loadChanges.get())
            relay.share(ENTRY_VMS, isContended = false)
            val after = call()
            settle()
            assertEquals(listOf(1), relay.pendingWork().first.map { it.running })
            answerOf(after)
            settle()
            assertEquals(emptyList(), relay.pendingWork().first)
            assertEquals(2, relay.loadChanges.get())
        }

        /** Guards against the burst that arrives before a control VM has said that the service is contended. */
        @Test
        fun `a call asks when the calls of all VMs fill the places`() {
            val server = server("a")
            relay.share(ENTRY_VMS, isContended = false)
            relay.reportPeerCalls("a", PLACES)
            val call = call()
            val question = queue.next()
            assertEquals(0, server.requests.size)
            question.grant("a")
            assertTrue(answerOf(call).endsWith("ran"))
        }
    }

    @Nested
    inner class Rejections {
        /** Guards against rejected arrivals at one full server after the other, which use up the retry budget. */
        @Test
        fun `a rejected call asks instead of polling the other servers`() {
            val servers = listOf("a", "b", "c").map { id ->
                relay.server(id) { request, socket ->
                    FakeServer.reject(socket, request)
                }
            }
            relay.share(ENTRY_VMS, isContended = false)
            val call = call()
            val question = queue.next()
            settle()
            assertEquals(1, servers.sumOf { it.requests.size })
            question.answer(CapacityAnswer.Refused("full", 700))
            assertContains(answerOf(call), "503")
        }

        /** Guards against a server that stays excluded since it was full, though it is the one that is granted. */
        @Test
        fun `a rejected call returns to the same server by a grant and runs once`() {
            val server = relay.server("a") { request, socket ->
                if (relay.capacity.asked.isEmpty()) FakeServer.reject(socket, request) else reply(request, socket)
            }
            relay.share(ENTRY_VMS, isContended = false)
            val call = call("/once/1")
            queue.next().grant("a")
            assertTrue(answerOf(call).endsWith("ran"))
            assertEquals(2, server.requests.size)
        }
    }

    @Nested
    inner class Waiting {
        /** Guards against refusing calls of a burst that would merely be late. */
        @Test
        fun `calls over full servers are held and answered late`() {
            val server = server("a")
            contend()
            val calls = List(BURST) { call(id = "r$it") }
            val questions = List(BURST) { queue.next() }
            settle()
            assertEquals(0, server.requests.size)
            questions.forEach { it.grant("a") }
            calls.forEach { assertTrue(answerOf(it).endsWith("ran")) }
            assertEquals(BURST, server.requests.size)
        }

        /** Guards against a control VM that orders by wrong times or by the wrong service. */
        @Test
        fun `a question states the times of the call`() {
            server("a")
            contend()
            val call = call()
            val question = queue.next()
            with(question.request) {
                assertEquals(listOf(SERVICE.value, "/safe/", "0"), listOf(service.value, route, urgency.toString()))
                assertTrue(targetMs in 500..1_000 && leftMs in 4_000..5_000 && ageMs < 500, toString())
            }
            question.grant(null)
            answerOf(call)
        }

        /** Guards against a refusal with a made-up time, and one of a call that has run. */
        @Test
        fun `a refusal is passed on with its time, and nothing has run`() {
            val server = server("a")
            contend()
            queue.reply = { CapacityAnswer.Refused("no place before the deadline", 730) }
            val answer = relay.get("/once/1")
            assertContains(answer, "HTTP/1.1 503")
            assertContains(answer, "retry-after: 0.730")
            assertEquals(0, server.requests.size)
        }

        /** Guards against an outage of callers when no control VM answers. */
        @Test
        fun `without an answer a call is placed as before`() {
            server("a")
            contend()
            queue.reply = { CapacityAnswer.Unanswered }
            assertTrue(relay.get("/safe/1").endsWith("ran"))
            assertEquals(1, queue.asked.size)
        }

        /** Guards against refusing calls that servers reject while no control VM answers; before, they were retried. */
        @Test
        fun `without an answer a rejected call tries the servers again`() {
            val server = relay.server("a") { request, socket ->
                if (queue.asked.size < 1) FakeServer.reject(socket, request) else reply(request, socket)
            }
            relay.share(ENTRY_VMS, isContended = false)
            queue.reply = { CapacityAnswer.Unanswered }
            assertTrue(relay.get("/safe/1").endsWith("ran"))
            assertEquals(2, server.requests.size)
        }
    }

    @Nested
    inner class EndOfTheWait {
        /** Guards against grants for callers that have left. */
        @Test
        fun `the question is withdrawn when the caller leaves, and a late grant has no effect`() {
            val server = server("a")
            contend()
            val question = relay.connect().use { caller ->
                caller.getOutputStream().write("GET /safe/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n".toByteArray())
                queue.next()
            }
            settle()
            assertEquals(listOf(question.request.number), queue.cancelled)
            question.grant("a")
            settle()
            assertEquals(0, server.requests.size)
        }

        /** Guards against a timeout, which says nothing about whether the call has run, for one that has not run. */
        @Test
        fun `a call without a grant is refused shortly before its deadline`() {
            server("a")
            contend()
            val answer = relay.get("/short/1")
            assertContains(answer, "HTTP/1.1 503")
            assertContains(answer, "retry-after")
            assertEquals(queue.asked.map { it.request.number }, queue.cancelled)
        }

        /** Guards against calls that wait beyond the end of the process. */
        @Test
        fun `a call that waits when the process ends is refused as not run`() {
            server("a")
            contend()
            val call = call()
            queue.next()
            relay.beginShutdown(agoMs = 0, remainingMs = 900)
            assertContains(answerOf(call), "HTTP/1.1 503")
            settle()
            assertEquals(1, queue.cancelled.size)
        }

        /** Guards against calls that wait for a service to which no call is routed any more. */
        @Test
        fun `a call continues on the new service when its route moves`() {
            val server = server("a")
            contend()
            val call = call()
            queue.next()
            val moved = ServiceName("moved")
            val target = FakeServer(answer = ::reply)
            relay.merge(rowOf("n", port = target.port).copy(service = moved))
            relay.moveRoutes(moved, version = 2)
            assertTrue(answerOf(call).endsWith("ran"))
            assertEquals(listOf(0, 1), listOf(server.requests.size, target.requests.size))
            assertEquals(1, queue.cancelled.size)
            target.close()
        }
    }

    @Nested
    inner class Grants {
        /** Guards against a call that runs twice as its grant was delivered twice. */
        @Test
        fun `a call that must not be repeated runs once on two grants`() {
            val server = server("a")
            contend()
            val call = call("/once/1")
            val question = queue.next()
            repeat(2) { question.grant("a") }
            assertTrue(answerOf(call).endsWith("ran"))
            settle()
            assertEquals(1, server.requests.size)
        }

        /** Guards against a call that is lost or refused since its server left while the grant was on its way. */
        @Test
        fun `a call asks again with its age when the granted server has left`() {
            val gone = server("gone")
            val server = server("a")
            contend()
            val call = call()
            val first = queue.next()
            relay.merge(rowOf("gone", port = gone.port, state = BackendState.LEAVING, sequence = 2))
            settle()
            first.grant("gone")
            val second = queue.next()
            assertTrue(second.request.ageMs >= SETTLE_MS && second.request.number != first.request.number)
            second.grant("a")
            assertTrue(answerOf(call).endsWith("ran"))
            assertEquals(listOf(0, 1), listOf(gone.requests.size, server.requests.size))
        }

        /** Guards against questions without end while a control VM grants a server that this VM does not know. */
        @Test
        fun `a call with useless grants is placed by this VM in the end`() {
            server("a")
            contend()
            queue.reply = { CapacityAnswer.Granted(ServerId("unknown"), 150) }
            assertTrue(relay.get("/safe/1").endsWith("ran"))
            assertEquals(5, queue.asked.size)
        }
    }

    private companion object {
        const val ENTRY_VMS = 40
        const val MAX_CONNECTIONS = 4_000
        const val PLACES = 8
        const val BURST = 12
        const val TIMEOUT_MS = 8_000L

        /** Time for a call to reach the relay, or for a load report. */
        const val SETTLE_MS = 60L
    }
}
