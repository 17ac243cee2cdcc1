package gentiandale.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers of calls that answer late, while other servers fail to take the call over. */
class SilentPlainServerTest {
    private val relay = RelayFixture()
    private val first = AtomicReference<String>(null)

    @AfterEach
    fun close() = relay.close()

    @Test
    fun `a call is not failed when the server that it would move to rejects it`() {
        val answered = listOf("s1", "s2").map { id ->
            relay.server(id) { request, socket ->
                // The server that is chosen first is silent and the other one is full.
                if (first.compareAndSet(null, id) || first.get() == id) {
                    Thread.sleep(600)
                    FakeServer.reply(socket, request, "done")
                } else {
                    FakeServer.reject(socket, request)
                }
            }
        }
        val answer = relay.get("/safe/1")
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer.take(80) + answered.map { it.requests.size })
    }

    @Test
    fun `a call is not failed when the server that it would move to breaks the connection`() {
        listOf("s1", "s2").forEach { id ->
            relay.server(id) { request, socket ->
                if (first.compareAndSet(null, id) || first.get() == id) {
                    Thread.sleep(600)
                    FakeServer.reply(socket, request, "done")
                } else {
                    false
                }
            }
        }
        val answer = relay.get("/safe/1")
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer.take(80))
    }

    @Test
    fun `a call is answered by its server when the one that it would move to is silent as well`() {
        listOf("s1", "s2").forEach { id ->
            relay.server(id) { request, socket ->
                Thread.sleep(if (first.compareAndSet(null, id) || first.get() == id) 900 else 6_000)
                FakeServer.reply(socket, request, "done")
            }
        }
        val answer = relay.get("/safe/1")
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer.take(80))
    }

    // Guards against calls that fail since their silent server broke off the answer for which the other one was left.
    @Test
    fun `a call goes back to the other server when its server begins an answer late and breaks it off`() {
        val calls = AtomicInteger()
        listOf("s1", "s2").forEach { id ->
            relay.server(id) { request, socket ->
                if (first.compareAndSet(null, id)) {
                    Thread.sleep(300)
                    val requestId = request.header("id")
                    val head = "HTTP/1.1 200 OK\r\nid: $requestId\r\nsigned: 1\r\ncontent-length: 9\r\n\r\n"
                    socket.getOutputStream().write("${head}part".toByteArray())
                    Thread.sleep(50)
                    false
                } else {
                    if (calls.incrementAndGet() == 1) Thread.sleep(1_500)
                    FakeServer.reply(socket, request, "done")
                }
            }
        }
        val answer = relay.get("/safe/1")
        assertTrue(answer.endsWith("done"), answer.take(80))
        assertEquals(2, calls.get())
    }

    @Nested
    inner class BothServersAreSilent {
        @Test
        fun `a call is answered by its server when the one that it would move to sends nothing`() {
            listOf("s1", "s2").forEach { id ->
                relay.server(id) { request, socket ->
                    if (first.compareAndSet(null, id) || first.get() == id) {
                        Thread.sleep(600)
                        FakeServer.reply(socket, request, "done")
                    } else {
                        Thread.sleep(6_000)
                        false
                    }
                }
            }
            val answer = relay.get("/safe/1")
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer.take(80))
        }
    }
}
