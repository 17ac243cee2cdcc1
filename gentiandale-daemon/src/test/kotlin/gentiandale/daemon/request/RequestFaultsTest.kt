package gentiandale.daemon.request

import com.linecorp.armeria.common.HttpStatus
import gentiandale.daemon.Fault
import gentiandale.daemon.FleetFixture
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RequestFaultsTest : FleetFixture() {
    @BeforeTest
    fun start() = startVms()

    private fun onPrefill(fault: Fault) = prefills.forEach { it.faults += fault }

    private fun onDecode(fault: Fault) = decodes.forEach { it.faults += fault }

    @Nested
    inner class CompleteAnswer {
        @Test
        fun `is delivered although every token is duplicated`() = assertDelivered(Fault.Double)

        @Test
        fun `is delivered although tokens are out of order`() = assertDelivered(Fault.Swap)

        @Test
        fun `is delivered although events of other requests and attempts arrive`() = assertDelivered(Fault.Misdirect)

        @Test
        fun `is delivered although the decode stream is reset`() = assertDelivered(Fault.BreakAt(3))

        @Test
        fun `is delivered although the decode stream ends without its final event`() = assertDelivered(Fault.CutAt(3))

        @Test
        fun `is delivered although the decode stream stalls`() = assertDelivered(Fault.StallAt(3))

        @Test
        fun `is delivered although the KV cache transfer stalls`() = assertDelivered(Fault.Stall)

        @Test
        fun `is delivered although a decode engine is full`() = assertDelivered(
            Fault.Refuse(HttpStatus.TOO_MANY_REQUESTS),
        )

        @Test
        fun `is delivered although the prefill stalls`() {
            prefills[0].faults += Fault.Stall
            assertComplete(complete())
            assertNothingHeld()
        }

        @Test
        fun `is delivered although a prefill reply belongs to another request`() {
            prefills[0].faults += Fault.OtherRequest
            assertComplete(complete())
            assertNothingHeld()
        }

        private fun assertDelivered(fault: Fault) {
            decodes[0].faults += fault
            assertComplete(complete())
            assertNothingHeld()
        }
    }

    @Nested
    inner class IncompleteAnswer {
        @Test
        fun `ends with an error event and not with the end marker of a complete answer`() {
            repeat(20) { onDecode(Fault.CutAt(3)) }
            assertInterrupted(complete())
            assertNothingHeld()
        }

        @Test
        fun `is replaced by an error if the caller did not ask for a stream`() {
            repeat(20) { onDecode(Fault.CutAt(3)) }
            val response = complete(stream = false)
            assertTrue(response.status().isError)
            assertTrue("w0" !in response.contentUtf8())
            assertTrue("\"outcome\":\"unknown\"" in response.contentUtf8())
            assertNothingHeld()
        }

        @Test
        fun `is refused at the deadline while the prefill stalls`() {
            repeat(20) { onPrefill(Fault.Stall) }
            val response = complete(headers = mapOf("x-gentian-deadline-ms" to "300"))
            assertEquals(504, response.status().code())
            assertTrue("\"outcome\":\"unknown\"" in response.contentUtf8())
            assertNothingHeld()
        }
    }

    @Nested
    inner class CallerDisconnect {
        @Test
        fun `releases all engines among many requests, faults and unconfirmed cancels`() {
            val random = Random(SEED)
            decodes.forEach { it.unconfirmedCancels.set(5) }
            repeat(10) {
                onDecode(listOf(Fault.BreakAt(2), Fault.StallAt(1), Fault.Stall, Fault.Double).random(random))
                onPrefill(listOf(Fault.Stall, Fault.OtherRequest, Fault.Refuse(HttpStatus.CONFLICT)).random(random))
            }
            val responses = List(40) { open(tokens = 20) }
            responses.forEach { if (random.nextBoolean()) it.abort() else it.aggregate() }
            assertNothingHeld()
        }
    }

    @Nested
    inner class DuplicateRequestId {
        @Test
        fun `is refused while the first request runs`() {
            onDecode(Fault.StallAt(2))
            val headers = mapOf("x-request-id" to "one")
            val first = open(headers = headers)
            await("decode began") { decodes.any { it.held.isNotEmpty() } }
            val second = complete(headers = headers)
            assertEquals(409, second.status().code())
            assertTrue(second.headers().contains("retry-after"))
            assertComplete(first.aggregate().join())
            assertNothingHeld()
        }
    }

    private companion object {
        const val SEED = 7
    }
}
