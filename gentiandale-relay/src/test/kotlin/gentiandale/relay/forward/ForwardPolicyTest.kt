package gentiandale.relay.forward

import gentiandale.core.ServerId
import gentiandale.relay.backend.Backend
import gentiandale.relay.rowOf
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ForwardPolicyTest {
    private val peers = listOf(Backend(rowOf("vm"), isPeer = true))

    private fun next(
        isReached: Boolean = false,
        isForwarded: Boolean = false,
        peers: List<Backend>? = this.peers,
        askedMs: Long = 0,
        unreachedMs: Long? = null,
    ): ForwardPath {
        val unreached = unreachedMs?.let { mapOf(ServerId("vm") to it) }.orEmpty()
        return ForwardPolicy.next(isReached, isForwarded, peers, askedMs, unreached)
    }

    @Nested
    inner class Reached {
        @Test
        fun `requests go to servers, though peers are known from before`() = assertEquals(
            ForwardPath.Direct,
            next(true),
        )

        @Test
        fun `forwarded requests go to servers`() =
            assertEquals(ForwardPath.Direct, next(isReached = true, isForwarded = true))
    }

    @Nested
    inner class NotReached {
        @Test
        fun `requests go by a peer`() = assertEquals(ForwardPath.ByPeer(peers), next())

        @Test
        fun `a forwarded request isn't forwarded again`() {
            assertIs<ForwardPath.Nowhere>(next(isForwarded = true))
        }

        @Test
        fun `requests wait for the first names of peers only for a moment`() {
            assertEquals(ForwardPath.AwaitPeers, next(peers = null, askedMs = ForwardPolicy.MAX_WAIT_MS - 1))
            assertIs<ForwardPath.Nowhere>(next(peers = null, askedMs = ForwardPolicy.MAX_WAIT_MS))
        }

        // Guards against requests that ask the same peers again and again, which have lost the servers too.
        @Test
        fun `requests pass over a peer for a moment that reaches no server either`() {
            val other = Backend(rowOf("other"), isPeer = true)
            assertEquals(ForwardPath.ByPeer(listOf(other)), next(peers = peers + other, unreachedMs = 0))
            val last = ForwardPolicy.MAX_WAIT_MS - 1
            assertEquals(ForwardPath.AwaitPeers, next(askedMs = 1_000, unreachedMs = last))
            assertEquals(ForwardPath.ByPeer(peers), next(askedMs = 1_000, unreachedMs = last + 1))
        }

        @Test
        fun `requests are refused at once if no VM reaches a server`() {
            assertIs<ForwardPath.Nowhere>(next(peers = emptyList()))
        }
    }
}
