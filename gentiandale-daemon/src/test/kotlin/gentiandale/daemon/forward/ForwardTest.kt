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

    private fun awaitDecoding() = await("decode began") { decodes.any { it.held.isNotEmpty() } }

    private fun awaitDecodeCall() = await("a decode call has arrived") { decodes.any { it.decodes.isNotEmpty() } }

    @Nested
    inner class ForwardedRequest {
        @Test
        fun `gets a complete answer`() {
            List(20) { open(vm = nonOwner, tokens = 100) }
                .forEach { assertComplete(it.aggregate().join(), tokens = 100) }
            assertNothingHeld()
        }

        @Test
        fun `gets a complete answer although messages are lost`() {
            val random = Random(SEED)
            links.set { _, _, channel -> channel != Channel.FORWARD || synchronized(random) { random.nextInt(5) > 0 } }
            List(20) { open(vm = nonOwner, tokens = 50) }.forEach { assertComplete(it.aggregate().join(), tokens = 50) }
            links.set(LinkFilter.OPEN)
            assertNothingHeld()
            assertTrue(vms[nonOwner].counters[AnswerAnomaly.DOUBLED] > 0)
        }

        @Test
        fun `is refused through another VM while a request with the same id runs`() {
            decodes.forEach { it.faults += Fault.StallAt(2) }
            val headers = mapOf("x-request-id" to "one")
            val first = open(vm = nonOwner, headers = headers)
            awaitDecoding()
            assertEquals(409, complete(vm = owner, headers = headers).status().code())
            assertComplete(first.aggregate().join())
        }

        @Test
        fun `has the decisions of its owner in the journal of the VM that received it`() {
            assertComplete(complete(vm = nonOwner, headers = mapOf("x-request-id" to "one")))
            val journal = get(nonOwner, "/v1/requests/one").contentUtf8()
            listOf("Forwarded to vm-$owner", "Placed on", "State: decoding", "State: answered").forEach {
                assertTrue(it in journal, journal)
            }
        }
    }

    @Nested
    inner class LostOwner {
        @Test
        fun `is replaced before the first token`() {
            decodes.forEach { it.faults += Fault.Stall }
            val response = open(vm = nonOwner)
            awaitDecoding()
            kill(owner)
            assertComplete(response.aggregate().join())
            assertNothingHeld()
        }

        @Test
        fun `is replaced in the middle of an answer without losing or repeating a token`() {
            engines.forEach { it.tokenMs = 5 }
            val responses = List(10) { open(vm = nonOwner, tokens = 200) }
            awaitDecodeCall()
            Thread.sleep(200)
            kill(owner)
            responses.forEach { assertComplete(it.aggregate().join(), tokens = 200) }
            assertTrue(decodes.any { engine -> engine.decodes.any { it.firstIndex > 0 } })
            assertNothingHeld()
        }

        @Test
        fun `is replaced if only its messages are lost, and cancels its own work`() {
            engines.forEach { it.freesOnDisconnect = false }
            engines.forEach { it.tokenMs = 5 }
            val responses = List(5) { open(vm = nonOwner, tokens = 300) }
            awaitDecodeCall()
            links.set { _, _, channel -> channel != Channel.FORWARD }
            responses.forEach { assertComplete(it.aggregate().join(), tokens = 300) }
            assertNothingHeld()
        }
    }

    @Nested
    inner class EntrySide {
        @Test
        fun `makes the owner cancel the work if the entry VM crashes`() {
            engines.forEach { it.freesOnDisconnect = false }
            decodes.forEach { it.tokenMs = 20 }
            val response = open(vm = nonOwner, tokens = 10_000)
            awaitDecoding()
            kill(nonOwner)
            assertNothingHeld()
            response.abort()
        }

        @Test
        fun `makes the owner cancel the work if the caller disconnects`() {
            engines.forEach { it.freesOnDisconnect = false }
            decodes.forEach { it.tokenMs = 20 }
            val response = open(vm = nonOwner, tokens = 10_000)
            awaitDecoding()
            response.abort()
            assertNothingHeld()
        }
    }

    @Nested
    inner class Owner {
        @Test
        fun `is the VM with the lowest name that is neither excluded nor draining`() {
            val board = gentiandale.core.Blackboard()
            val peers = setOf(VmId("a"), VmId("c"))
            val lookup = LowestVmOwnerLookup(VmId("b"), peers, board)
            val model = gentiandale.core.ModelId("m")
            assertEquals(OwnerChoice.Remote(VmId("a")), lookup.ownerOf(model, emptySet()))
            assertEquals(OwnerChoice.Local, lookup.ownerOf(model, setOf(VmId("a"))))
            board[gentiandale.core.Board.DRAINING] = true
            assertEquals(OwnerChoice.Remote(VmId("c")), lookup.ownerOf(model, setOf(VmId("a"))))
            assertEquals(OwnerChoice.Local, lookup.ownerOf(model, peers))
        }
    }

    private companion object {
        const val SEED = 3
    }
}
