package gentiandale.wire

import gentiandale.core.Address
import gentiandale.core.VmId
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class PeerNodeTest {
    private val isCut = AtomicBoolean()
    private val left = PeerNode(VmId("left")) { _, _, _ -> !isCut.get() }
    private val right = PeerNode(VmId("right"))

    private var leftPort = 0
    private var rightPort = 0

    @AfterTest
    fun close() {
        left.close()
        right.close()
    }

    private suspend fun connect() {
        rightPort = right.listen(Address(LOOPBACK, 0))
        left.setAddress(right.self, Address(LOOPBACK, rightPort))
        leftPort = left.listen(Address(LOOPBACK, 0))
        right.setAddress(left.self, Address(LOOPBACK, leftPort))
        right.handle(Channel.STORE) { _, payload -> payload.reversedArray() }
    }

    @Nested
    inner class Call {
        @Test
        fun `returns the reply of the peer`() = runBlocking<Unit> {
            connect()
            val reply = left.call(right.self, Channel.STORE, byteArrayOf(1, 2, 3), TIMEOUT_MS)
            assertEquals(listOf<Byte>(3, 2, 1), reply?.toList())
        }

        @Test
        fun `returns null over a cut link`() = runBlocking<Unit> {
            connect()
            isCut.set(true)
            assertNull(left.call(right.self, Channel.STORE, byteArrayOf(1), SHORT_TIMEOUT_MS))
        }

        // Guards against a late reply to an earlier process that is taken for the reply to a call of its successor.
        @Test
        fun `returns no reply to a call of an earlier process of its VM`() = runBlocking<Unit> {
            connect()
            right.handle(Channel.STORE) { _, payload ->
                delay(REPLY_DELAY_MS)
                payload
            }
            assertNull(left.call(right.self, Channel.STORE, byteArrayOf(1), SHORT_TIMEOUT_MS))
            left.close()
            PeerNode(left.self).use { successor ->
                awaitUntil { runCatching { successor.listen(Address(LOOPBACK, leftPort)) }.isSuccess }
                successor.setAddress(right.self, Address(LOOPBACK, rightPort))
                val reply = successor.call(right.self, Channel.STORE, byteArrayOf(2), TIMEOUT_MS)
                assertEquals(listOf<Byte>(2), reply?.toList())
            }
        }

        @Test
        fun `returns null for an unknown peer`() = runBlocking<Unit> {
            assertNull(left.call(VmId("nobody"), Channel.STORE, byteArrayOf(1), SHORT_TIMEOUT_MS))
        }
    }

    @Nested
    inner class Reconnect {
        /** Closes [right] and starts a new node of the same VM at [port]. */
        private suspend fun restart(port: Int): PeerNode {
            right.close()
            val restarted = PeerNode(right.self)
            awaitUntil { runCatching { restarted.listen(Address(LOOPBACK, port)) }.isSuccess }
            restarted.setAddress(left.self, Address(LOOPBACK, leftPort))
            restarted.handle(Channel.STORE) { _, payload -> payload.reversedArray() }
            return restarted
        }

        @Test
        fun `delivers the first message after a restart of the peer`() = runBlocking<Unit> {
            connect()
            left.call(right.self, Channel.STORE, byteArrayOf(1), TIMEOUT_MS)
            restart(rightPort).use {
                awaitUntil { !left.isConnectedTo(right.self) }
                val reply = left.call(right.self, Channel.STORE, byteArrayOf(1, 2), TIMEOUT_MS)
                assertEquals(listOf<Byte>(2, 1), reply?.toList())
            }
        }
    }

    private suspend fun awaitUntil(condition: suspend () -> Boolean) {
        withTimeout(TIMEOUT_MS) {
            while (!condition()) delay(POLL_MS)
        }
    }

    private companion object {
        const val POLL_MS = 10L
        const val LOOPBACK = "127.0.0.1"
        const val TIMEOUT_MS = 10_000L
        const val SHORT_TIMEOUT_MS = 50L

        /** Longer than a restart takes, so that the reply to the earlier process arrives first. */
        const val REPLY_DELAY_MS = 300L
    }
}
