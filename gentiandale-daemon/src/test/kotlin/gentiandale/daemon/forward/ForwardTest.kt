package gentiandale.daemon.forward

import gentiandale.core.VmId
import gentiandale.daemon.Fault
import gentiandale.daemon.FleetFixture
import gentiandale.daemon.request.AnswerAnomaly
import gentiandale.wire.Channel
import gentiandale.wire.LinkFilter
import org.junit.jupiter.api.Nested
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ForwardTest : FleetFixture() {
    private val links = AtomicReference(LinkFilter.OPEN)

    @BeforeTest
    fun start() {
        engines.forEach { it.freesOnDisconnect = true }
        startVms(2) { settings ->
            val filter = LinkFilter { from, to, channel -> links.get().passes(from, to, channel) }
            vmOf(settings, links = filter)
        }
        awaitOwner()
    }

    private fun decoding() = await("decode began") { decodes.any { it.held.isNotEmpty() } }

    private fun tokensSent() = await("tokens were sent") { decodes.any { it.decodes.isNotEmpty() } }

    @Nested
    inner class Forwarded {
        @Test
        fun `answers are whole`() {
            List(20) { open(vm = other, tokens = 100) }.forEach { assertWhole(it.aggregate().join(), tokens = 100) }
            assertNothingHeld()
        }

        @Test
        fun `answers are whole though messages are lost`() {
            val random = Random(SEED)
            links.set { _, _, channel -> channel != Channel.FORWARD || synchronized(random) { random.nextInt(5) > 0 } }
            List(20) { open(vm = other, tokens = 50) }.forEach { assertWhole(it.aggregate().join(), tokens = 50) }
            links.set(LinkFilter.OPEN)
            assertNothingHeld()
            assertTrue(vms[other].counters[AnswerAnomaly.DOUBLED] > 0)
        }

        @Test
        fun `same id is refused through another VM while the first request runs`() {
            decodes.forEach { it.faults += Fault.StallAt(2) }
            val headers = mapOf("x-request-id" to "one")
            val first = open(vm = other, headers = headers)
            decoding()
            assertEquals(409, complete(vm = owner, headers = headers).status().code())
            assertWhole(first.aggregate().join())
        }

        @Test
        fun `request can be followed at the VM that was called`() {
            assertWhole(complete(vm = other, headers = mapOf("x-request-id" to "one")))
            val journal = get(other, "/v1/requests/one").contentUtf8()
            listOf("Forwarded to vm-$owner", "Placed on", "State: decoding", "State: answered").forEach {
                assertTrue(it in journal, journal)
            }
        }
    }

    @Nested
    inner class OwnerThatDies {
        @Test
        fun `before the first token is replaced`() {
            decodes.forEach { it.faults += Fault.Stall }
            val response = open(vm = other)
            decoding()
            kill(owner)
            assertWhole(response.aggregate().join())
            assertNothingHeld()
        }

        @Test
        fun `in the middle of an answer is replaced, and no token is lost or doubled`() {
            engines.forEach { it.tokenMs = 5 }
            val responses = List(10) { open(vm = other, tokens = 200) }
            tokensSent()
            Thread.sleep(200)
            kill(owner)
            responses.forEach { assertWhole(it.aggregate().join(), tokens = 200) }
            assertTrue(decodes.any { engine -> engine.decodes.any { it.firstIndex > 0 } })
            assertNothingHeld()
        }

        @Test
        fun `is replaced when it is only cut off, and it ends its work`() {
            engines.forEach { it.freesOnDisconnect = false }
            engines.forEach { it.tokenMs = 5 }
            val responses = List(5) { open(vm = other, tokens = 300) }
            tokensSent()
            links.set { _, _, channel -> channel != Channel.FORWARD }
            responses.forEach { assertWhole(it.aggregate().join(), tokens = 300) }
            assertNothingHeld()
        }
    }

    @Nested
    inner class CallersVm {
        @Test
        fun `that dies has its work ended by the owner`() {
            engines.forEach { it.freesOnDisconnect = false }
            decodes.forEach { it.tokenMs = 20 }
            val response = open(vm = other, tokens = 10_000)
            decoding()
            kill(other)
            assertNothingHeld()
            response.abort()
        }

        @Test
        fun `ends the work at the owner when the caller leaves`() {
            engines.forEach { it.freesOnDisconnect = false }
            decodes.forEach { it.tokenMs = 20 }
            val response = open(vm = other, tokens = 10_000)
            decoding()
            response.abort()
            assertNothingHeld()
        }
    }

    @Nested
    inner class Owner {
        @Test
        fun `is the lowest VM that is not excluded`() {
            val board = gentiandale.core.Blackboard()
            val peers = setOf(VmId("a"), VmId("c"))
            val lookup = LowestVmOwner(VmId("b"), peers, board)
            val model = gentiandale.core.ModelId("m")
            assertEquals(OwnerChoice.At(VmId("a")), lookup.ownerOf(model, emptySet()))
            assertEquals(OwnerChoice.Here, lookup.ownerOf(model, setOf(VmId("a"))))
            board[gentiandale.core.Board.DRAINING] = true
            assertEquals(OwnerChoice.At(VmId("c")), lookup.ownerOf(model, setOf(VmId("a"))))
            assertEquals(OwnerChoice.Here, lookup.ownerOf(model, peers))
        }
    }

    private companion object {
        const val SEED = 3
    }
}
