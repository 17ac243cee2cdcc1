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
    inner class WholeAnswer {
        @Test
        fun `comes although every token is doubled`() = checkWhole(Fault.Double)

        @Test
        fun `comes although tokens are out of order`() = checkWhole(Fault.Swap)

        @Test
        fun `comes although events of other requests and attempts are mixed in`() = checkWhole(Fault.Misdirect)

        @Test
        fun `comes although the stream breaks`() = checkWhole(Fault.BreakAt(3))

        @Test
        fun `comes although the stream ends without its end event`() = checkWhole(Fault.CutAt(3))

        @Test
        fun `comes although the stream stalls`() = checkWhole(Fault.StallAt(3))

        @Test
        fun `comes although the transfer stalls`() = checkWhole(Fault.Stall)

        @Test
        fun `comes although the decode engine is full`() = checkWhole(Fault.Refuse(HttpStatus.TOO_MANY_REQUESTS))

        @Test
        fun `comes although the prefill stalls`() {
            prefills[0].faults += Fault.Stall
            assertComplete(complete())
            assertNothingHeld()
        }

        @Test
        fun `comes although a prefill reply belongs to another request`() {
            prefills[0].faults += Fault.OtherRequest
            assertComplete(complete())
            assertNothingHeld()
        }

        private fun checkWhole(fault: Fault) {
            decodes[0].faults += fault
            assertComplete(complete())
            assertNothingHeld()
        }
    }

    @Nested
    inner class BrokenAnswer {
        @Test
        fun `ends with an error and never with the end of a whole answer`() {
            repeat(20) { onDecode(Fault.CutAt(3)) }
            assertInterrupted(complete())
            assertNothingHeld()
        }

        @Test
        fun `is not sent when the answer was asked for as a whole`() {
            repeat(20) { onDecode(Fault.CutAt(3)) }
            val response = complete(stream = false)
            assertTrue(response.status().isError)
            assertTrue("w0" !in response.contentUtf8())
            assertTrue("\"outcome\":\"unknown\"" in response.contentUtf8())
            assertNothingHeld()
        }

        @Test
        fun `is refused at its deadline while the prefill stalls`() {
            repeat(20) { onPrefill(Fault.Stall) }
            val response = complete(headers = mapOf("x-gentian-deadline-ms" to "300"))
            assertEquals(504, response.status().code())
            assertTrue("\"outcome\":\"unknown\"" in response.contentUtf8())
            assertNothingHeld()
        }
    }

    @Nested
    inner class CallerThatLeaves {
        @Test
        fun `frees the decode engine`() {
            onDecode(Fault.StallAt(2))
            val response = open()
            await("decode began") { decodes.any { it.held.isNotEmpty() } }
            response.abort()
            assertNothingHeld()
        }

        @Test
        fun `frees the prefill engine`() {
            onPrefill(Fault.Stall)
            val response = open()
            await("prefill began") { prefills.any { it.held.isNotEmpty() } }
            response.abort()
            assertNothingHeld()
        }

        @Test
        fun `frees the engine although it does not confirm the first cancels`() {
            decodes.forEach { it.unconfirmedCancels.set(3) }
            onDecode(Fault.StallAt(2))
            val response = open()
            await("decode began") { decodes.any { it.held.isNotEmpty() } }
            response.abort()
            assertNothingHeld()
        }

        @Test
        fun `frees everything among many requests, faults and unconfirmed cancels`() {
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
    inner class SameId {
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
