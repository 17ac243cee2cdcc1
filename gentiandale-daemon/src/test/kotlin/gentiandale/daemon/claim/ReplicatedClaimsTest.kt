package gentiandale.daemon.claim

import com.linecorp.armeria.common.AggregatedHttpResponse
import gentiandale.core.SystemClock
import gentiandale.core.VmId
import gentiandale.daemon.EntryVm
import gentiandale.daemon.FakeService
import gentiandale.daemon.FleetFixture
import gentiandale.daemon.ServiceFault
import gentiandale.daemon.StoreModule
import gentiandale.daemon.settings.Settings
import gentiandale.wire.LinkFilter
import gentiandale.wire.PeerNode
import org.junit.jupiter.api.Nested
import java.nio.file.Files
import java.util.concurrent.ConcurrentHashMap
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** At-most-once calls through three VMs that replicate the claims as voters with data folders. */
class ReplicatedClaimsTest : FleetFixture() {
    private val base = Files.createTempDirectory("claims")
    private val isolated = ConcurrentHashMap.newKeySet<VmId>()
    private val links = LinkFilter { from, to, _ -> from !in isolated && to !in isolated }
    private val service = closeAfterTest(FakeService("orders-1"))

    @BeforeTest
    fun start() {
        startVms(3, build = ::voter)
        announce(service.announcement)
        await("a voter leads") { order(0, "first").status().code() == CREATED }
    }

    @AfterTest
    fun deleteFolders() {
        base.toFile().deleteRecursively()
    }

    private fun voter(settings: Settings): EntryVm {
        val own = settings.copy(
            voter = true,
            dataFolder = base.resolve(settings.vm.value).toString(),
            peers = settings.peers.map { it.copy(voter = true) },
        )
        val node = PeerNode(own.vm, links)
        return EntryVm(own, store = StoreModule.open(own, node, SystemClock), links = links, node = node)
    }

    private fun order(vm: Int, key: String): AggregatedHttpResponse =
        post(vm, "/services/orders/order", key, atMostOnce + ("idempotency-key" to key))

    private fun isolate(vm: Int) {
        isolated += VmId("vm-$vm")
    }

    private fun assertNotRun(response: AggregatedHttpResponse) {
        assertEquals(UNAVAILABLE, response.status().code(), response.contentUtf8())
        assertTrue("\"outcome\":\"not-run\"" in response.contentUtf8(), response.contentUtf8())
        assertNotNull(response.headers().get("retry-after"))
    }

    private fun runs(key: String) = service.runs[key] ?: 0

    @Nested
    inner class Partition {
        @Test
        fun `an isolated VM refuses the call as not run, and the others run it once`() {
            (0..2).forEach { minority ->
                val key = "cut-$minority"
                isolate(minority)
                assertNotRun(order(minority, key))
                assertEquals(0, runs(key))
                await("the majority answers") { order((minority + 1) % 3, key).status().code() == CREATED }
                assertEquals(1, runs(key))
                isolated.clear()
                await("the isolated VM has the answer") { order(minority, key).status().code() == CREATED }
                assertEquals(1, runs(key))
            }
        }

        @Test
        fun `a call whose VM is isolated while it runs is not run again by another VM`() {
            service.faults += ServiceFault.STALL
            val running = http.execute(
                request(0, "/services/orders/order", "k", atMostOnce + ("idempotency-key" to "k")),
            ).aggregate()
            await("the call runs") { runs("k") == 1 }
            isolate(0)
            await("the majority answers") { order(1, "another").status().code() == CREATED }
            val second = order(1, "k")
            assertTrue("\"outcome\":\"unknown\"" in second.contentUtf8(), second.contentUtf8())
            assertEquals(1, runs("k"))
            running.cancel(true)
        }
    }

    private companion object {
        const val CREATED = 201
        const val UNAVAILABLE = 503
        val atMostOnce = mapOf("x-gentian-repeatable" to "false")
    }
}
