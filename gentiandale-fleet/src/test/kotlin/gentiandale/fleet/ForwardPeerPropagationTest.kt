package gentiandale.fleet

import gentiandale.core.DataCentreId
import gentiandale.core.VmId
import gentiandale.core.backend.ForwardPeer
import gentiandale.core.backend.ServiceName
import gentiandale.wire.encodeWire
import org.junit.jupiter.api.Nested
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Entry VMs that reach no server of a service, and the peers that control VMs name to them. */
class ForwardPeerPropagationTest : VirtualFleet() {
    private val drafts = ServiceName("drafts")
    private val notes = ServiceName("notes")

    @BeforeTest
    fun start() {
        entries += newEntry(VmId("10.8.0.1"), dataCentre = "b")
        entries += newEntry(VmId("10.8.1.1"), dataCentre = "b")
        advance(4_000)
    }

    private fun vms(vararg indices: Int) = indices.map { entries[it].id }.toSet()

    private fun peersOf(index: Int, service: ServiceName = drafts) =
        entries[index].forwardPeers[service]?.map { it.vm }?.toSet()

    private fun report(vararg indices: Int) = indices.forEach { entries[it].reportUnreached(listOf(drafts)) }

    /** Loses all messages between [entry] and the control VMs [lost] while [block] runs. */
    private fun losing(entry: EntryVm, lost: List<VmId> = controls, block: () -> Unit) {
        val links = lost.map { setOf(it, entry.id) }
        cut += links
        block()
        cut -= links.toSet()
    }

    @Nested
    inner class Peers {
        @Test
        fun `reach a VM that is cut off within a round trip`() {
            report(0)
            deliver()
            assertEquals(vms(1, 2), peersOf(0))
            assertEquals(listOf("a", "a"), entries[0].forwardPeers.getValue(drafts).map { it.dataCentre.value })
        }

        @Test
        fun `are not VMs that are cut off as well`() {
            report(0, 1)
            deliver()
            advance(500)
            assertEquals(vms(2), peersOf(0)?.minus(vms(3, 4)))
            assertEquals(vms(2), peersOf(1)?.minus(vms(3, 4)))
        }

        @Test
        fun `are not VMs that have stopped`() {
            report(0)
            deliver()
            entries.removeAt(1)
            advance(2_500)
            assertEquals(setOf(entries[1].id), peersOf(0)?.filter { it.value.startsWith("10.9.") }?.toSet())
        }

        @Test
        fun `are none if all VMs are cut off`() {
            report(0, 1, 2, 3, 4)
            deliver()
            advance(500)
            assertEquals(List(5) { emptySet() }, entries.indices.map { peersOf(it) })
        }

        // Guards against requests that are forwarded to a port that the VM couldn't open.
        @Test
        fun `are not VMs that take no forwarded requests`() {
            entries[1] = newEntry(VmId("10.9.7.1")).also { it.subscriber.takesForwardedRequests = false }
            advance(4_000)
            report(0)
            deliver()
            assertEquals(vms(2), peersOf(0)?.minus(vms(3, 4)))
            entries[1].subscriber.takesForwardedRequests = true
            advance(2_500)
            assertEquals(vms(1, 2), peersOf(0))
        }

        @Test
        fun `are VMs of another data centre if the own one is cut off as a whole`() {
            report(0, 1, 2)
            deliver()
            advance(500)
            assertEquals(List(3) { vms(3, 4) }, List(3) { peersOf(it) })
        }

        @Test
        fun `are chosen for each service by itself`() {
            entries[0].reportUnreached(listOf(drafts, notes))
            entries[1].reportUnreached(listOf(notes))
            entries[2].reportUnreached(listOf(drafts))
            deliver()
            advance(500)
            assertEquals(setOf(entries[1].id), peersOf(0, drafts)?.minus(vms(3, 4)))
            assertEquals(setOf(entries[2].id), peersOf(0, notes)?.minus(vms(3, 4)))
        }
    }

    @Nested
    inner class End {
        private fun endAndAsk() {
            entries[0].reportUnreached(emptyList())
            deliver()
            report(2)
            deliver()
        }

        @Test
        fun `makes the VM a peer at once`() {
            report(0)
            advance(1_000)
            endAndAsk()
            assertEquals(vms(0, 1), peersOf(2))
        }

        @Test
        fun `of one service is no end of another`() {
            entries[0].reportUnreached(listOf(drafts, notes))
            advance(1_000)
            entries[0].reportUnreached(listOf(notes))
            entries[2].reportUnreached(listOf(drafts, notes))
            deliver()
            assertEquals(vms(0, 1), peersOf(2, drafts))
            assertEquals(vms(1), peersOf(2, notes)?.minus(vms(3, 4)))
        }

        @Test
        fun `is reported twice, since a message may be lost, and then no more`() {
            report(0)
            advance(1_000)
            losing(entries[0]) { entries[0].reportUnreached(emptyList()) }
            sent.clear()
            advance(500)
            assertEquals(setOf<FleetMessage>(FleetMessage.Unreached(emptyList())), unreachedMessages().toSet())
            sent.clear()
            advance(5_000)
            assertEquals(emptyList(), unreachedMessages())
        }

        @Test
        fun `makes a list that is still under way void`() {
            report(0)
            entries[0].unreachedServices = emptyList()
            deliver()
            assertEquals(null, peersOf(0))
        }
    }

    @Nested
    inner class Losses {
        @Test
        fun `a report that is lost is made up by the next one`() {
            losing(entries[0]) { report(0) }
            deliver()
            assertEquals(null, peersOf(0))
            advance(500)
            assertEquals(vms(1, 2), peersOf(0))
        }

        @Test
        fun `two lost subscriptions in a row take no peer away`() {
            losing(entries[1]) { advance(1_000) }
            advance(450)
            report(0)
            deliver()
            assertEquals(vms(1, 2), peersOf(0))
        }

        @Test
        fun `a control VM that reaches no other entry VM hides the peers from no one`() {
            entries.drop(1).forEach { entry -> cut += setOf(entry.id, controls[3]) }
            advance(4_000)
            hubs.getValue(controls[3]).let { assertEquals(1, it.entryCount) }
            report(0)
            repeat(10) {
                advance(500)
                assertEquals(vms(1, 2), peersOf(0))
            }
        }
    }

    @Nested
    inner class ControlVms {
        @Test
        fun `that have just started hide the peers from no one`() {
            // The VMs of the other data centre state theirs earlier than the others.
            advance(1_500)
            listOf(3, 4).forEach { entries[it] = newEntry(entries[it].id, dataCentre = "b") }
            report(0)
            advance(1_000)
            hubs[controls[0]] = newHub(controls[0])
            repeat(50) {
                advance(STEP_MS)
                assertEquals(vms(1, 2), peersOf(0))
            }
        }

        @Test
        fun `that have all just started name peers when they know the data centres`() {
            controls.forEach { hubs[it] = newHub(it) }
            report(0)
            advance(2_000)
            assertEquals(vms(1, 2), peersOf(0))
        }

        @Test
        fun `that have all just started do not say that there are none`() {
            controls.forEach { hubs[it] = newHub(it) }
            report(0)
            deliver()
            assertEquals(null, peersOf(0))
        }

        @Test
        fun `that have just started take no VM that is cut off for a peer`() {
            report(0, 1)
            advance(1_000)
            controls.forEach { hubs[it] = newHub(it) }
            entries[2].reportUnreached(listOf(drafts))
            val seen = HashSet<VmId>()
            repeat(60) {
                advance(STEP_MS)
                seen += peersOf(2).orEmpty()
            }
            assertEquals(vms(3, 4), seen)
        }

        @Test
        fun `hear of the state of a VM before its subscription`() {
            report(0)
            deliver()
            sent.clear()
            entries[0].subscriber.tick()
            deliver()
            assertEquals(listOf("Unreached", "Subscribe"), sent.map { it.javaClass.simpleName }.distinct())
        }

        @Test
        fun `that have stopped name no peers for longer than 1500 ms`() {
            report(0)
            advance(500)
            hubs -= controls[0]
            entries.subList(1, 3).forEach { it.reportUnreached(listOf(drafts)) }
            advance(2_000)
            assertEquals(vms(3, 4), peersOf(0))
        }
    }

    @Nested
    inner class Traffic {
        @Test
        fun `of a VM that reaches all services is a data centre in one of four subscriptions`() {
            sent.clear()
            advance(8_000)
            assertEquals(emptyList(), unreachedMessages())
            val subscriptions = sent.filterIsInstance<FleetMessage.Subscribe>()
            assertEquals(subscriptions.size / 4, subscriptions.count { it.dataCentre != null })
        }

        /** The sizes in docs/design/forwarding.md. */
        @Test
        fun `has the stated sizes`() {
            val services = List(4) { ServiceName("work-order-$it") }
            val peers = List(6) { ForwardPeer(VmId("10.123.45.10$it"), DataCentreId("michigan-west")) }
            val subscription = FleetMessage.Subscribe(version = 12, digest = Long.MAX_VALUE, speeds = emptyList())
            val messages = listOf(
                FleetMessage.Unreached(services, digest = Int.MIN_VALUE.toLong()),
                FleetMessage.ForwardPeers(services[0], peers),
                FleetMessage.ForwardPeersCurrent(digest = Int.MIN_VALUE.toLong()),
                subscription,
                subscription.copy(dataCentre = peers[0].dataCentre),
            )
            assertEquals(listOf(81, 239, 18, 40, 65), messages.map { encodeWire(it).size })
        }

        @Test
        fun `of a control VM has a list for each service only when the peers change`() {
            entries[0].reportUnreached(listOf(drafts, notes))
            deliver()
            received.clear()
            advance(5_000)
            val answers = received.filter { it is FleetMessage.ForwardPeersCurrent || it is FleetMessage.ForwardPeers }
            assertEquals(
                setOf<Class<*>>(FleetMessage.ForwardPeersCurrent::class.java),
                answers.map {
                    it.javaClass
                }.toSet(),
            )
            report(1)
            advance(500)
            assertEquals(vms(2), peersOf(0)?.minus(vms(3, 4)))
        }
    }

    private fun unreachedMessages(): List<FleetMessage> = sent.filterIsInstance<FleetMessage.Unreached>()
}
