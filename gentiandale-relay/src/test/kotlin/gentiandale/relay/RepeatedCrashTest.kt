package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertTrue

/** Requests that crash each server that runs them, and that their callers send again word for word. */
class RepeatedCrashTest {
    private val relay = RelayFixture()
    private val servers = ArrayList<CrashingServer>()

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        relay.close()
    }

    private fun start(kind: ServerKind) = repeat(SERVERS) { index ->
        val server = CrashingServer(DOWN_MS) { "deadly" in it.target || it.body == "deadly" }
        servers += server
        relay.merge(rowOf("s$index", kind, server.port))
    }

    private fun send(target: String, number: Int, extra: String = "") =
        relay.get(target, "parts: own\r\n$extra", id = "r$number")

    private fun post(target: String, body: String, number: Int) = relay.exchange(
        "POST $target HTTP/1.1\r\nhost: h\r\nid: p$number\r\nconnection: close\r\n" +
            "content-length: ${body.length}\r\n\r\n$body",
    )

    private fun crashes() = servers.sumOf { it.crashes }

    private fun assertCrashesEnd() =
        assertTrue(crashes() <= CRASHES + RETRIES_AFTER, "${servers.map { it.crashes }} crashes")

    @Nested
    inner class PlainCalls {
        @Test
        fun `a call that crashes servers stops reaching them when it comes again`() {
            start(ServerKind.PLAIN)
            repeat(REPEATS) {
                send("/safe/deadly", it)
                Thread.sleep(DOWN_MS)
            }
            assertCrashesEnd()
        }

        @Test
        fun `a call that may run once and crashes servers stops reaching them when it comes again`() {
            start(ServerKind.PLAIN)
            repeat(REPEATS) {
                post("/once/1", "deadly", it)
                Thread.sleep(DOWN_MS)
            }
            assertCrashesEnd()
        }

        @Test
        fun `sound calls beside it are served`() {
            start(ServerKind.PLAIN)
            var served = 0
            repeat(REPEATS) { number ->
                val deadly = thread { send("/safe/deadly", number) }
                repeat(CALLS_BESIDE) {
                    Thread.sleep(DOWN_MS / CALLS_BESIDE)
                    if (send("/safe/$it", number).startsWith("HTTP/1.1 200")) served++
                }
                deadly.join()
            }
            assertCrashesEnd()
            assertTrue(served >= REPEATS * CALLS_BESIDE * SERVED_SHARE, "$served served")
        }
    }

    @Nested
    inner class Generations {
        @Test
        fun `a generation without shared parts that crashes engines stops reaching them when it comes again`() {
            start(ServerKind.DECODE)
            repeat(REPEATS) {
                send("/stream/deadly", it)
                Thread.sleep(DOWN_MS)
            }
            assertCrashesEnd()
        }
    }

    @Nested
    inner class SoundRequests {
        @Volatile
        private var crashesAll = true

        private fun crashThenCallAgain(kind: ServerKind, target: String): String {
            repeat(SERVERS) { index ->
                val server = CrashingServer(DOWN_MS) { crashesAll }
                servers += server
                relay.merge(rowOf("s$index", kind, server.port))
            }
            send(target, 1)
            crashesAll = false
            Thread.sleep(RECOVERY_MS)
            return send(target, 2)
        }

        @Test
        fun `a call that two servers crashed under for other reasons is served again soon`() {
            val answer = crashThenCallAgain(ServerKind.PLAIN, "/safe/sound")
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer)
        }

        @Test
        fun `a generation that two engines crashed under for other reasons is served again soon`() {
            val answer = crashThenCallAgain(ServerKind.DECODE, "/stream/sound")
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer)
        }
    }

    private companion object {
        const val RECOVERY_MS = 1_500L
        const val SERVERS = 4
        const val DOWN_MS = 300L
        const val REPEATS = 10
        const val CALLS_BESIDE = 6
        const val SERVED_SHARE = 0.8

        /** Bounds of the users: crashes by which the request is known, and retries that may follow them. */
        const val CRASHES = 3
        const val RETRIES_AFTER = 3
    }
}
