package gentiandale.state

import gentiandale.core.Address
import gentiandale.core.IdempotencyKey
import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.VmId
import gentiandale.state.log.DiskFolder
import gentiandale.state.raft.VoterOutcome
import gentiandale.state.raft.VoterReplacement
import gentiandale.wire.PeerNode
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.nio.file.Files
import java.util.concurrent.ConcurrentHashMap
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RaftStoreTest {
    private val base = Files.createTempDirectory("store")
    private val voters = listOf("a", "b", "c").map(::VmId)
    private val running = ConcurrentHashMap<VmId, RunningVm>()
    private val ports = ConcurrentHashMap<VmId, Int>()
    private val cut = ConcurrentHashMap.newKeySet<VmId>()

    private class RunningVm(val node: PeerNode, val store: RaftStore)

    @AfterTest
    fun close() {
        running.keys.toList().forEach { kill(it) }
        base.toFile().deleteRecursively()
    }

    private suspend fun start(vm: VmId, withDisk: Boolean = true): RaftStore {
        val node = PeerNode(vm) { from, to, _ -> from !in cut && to !in cut }
        ports[vm] = node.listen(Address(LOOPBACK, ports[vm] ?: 0))
        val folder = if (withDisk) DiskFolder(base.resolve(vm.value)) else null
        val opening = RaftStore.open(node, voters, folder)
        val store = assertIs<StoreOpenResult.Opened>(opening).store
        running[vm] = RunningVm(node, store)
        exchangeAddresses()
        store.start()
        return store
    }

    private fun exchangeAddresses() = running.values.forEach { known ->
        ports.forEach { (vm, port) -> if (vm != known.node.self) known.node.setAddress(vm, Address(LOOPBACK, port)) }
    }

    /** Stops [vm] abruptly: closes its network node before its store. */
    private fun kill(vm: VmId) {
        running.remove(vm)?.let {
            it.node.close()
            it.store.close()
        }
    }

    private suspend fun startVoters() = voters.map { start(it) }

    private fun command(name: String, expected: Long = 0) = StoreCommand.ApplyRecords(
        OperationKey("key-$name-$expected"),
        listOf(RecordDraft(RecordId("model", name), 1, expected, "kv-bytes-per-token: 1")),
        0,
    )

    private suspend fun RaftStore.accepted(command: StoreCommand): StoreReply.Accepted =
        assertIs<StoreReply.Accepted>(assertIs<SubmitOutcome.Done>(submit(command, LIMIT_MS)).reply)

    private suspend fun await(condition: () -> Boolean) {
        repeat((LIMIT_MS / STEP_MS).toInt()) {
            if (condition()) return
            delay(STEP_MS)
        }
        error("Condition not met within $LIMIT_MS ms.")
    }

    @Nested
    inner class Submit {
        @Test
        fun `accepts commands on any VM with or without a disk`() = runBlocking<Unit> {
            val stores = startVoters() + start(VmId("d"), withDisk = false)
            stores.forEachIndexed { i, store -> assertEquals(i + 1L, store.accepted(command("m$i")).revision) }
            await { stores.take(3).all { it.configuration.value.revision == 4L } }
            assertEquals(4, stores.last().history(10, LIMIT_MS)?.size)
        }

        @Test
        fun `grants a key to exactly one of many concurrent claims`() = runBlocking<Unit> {
            val stores = startVoters()
            val replies = (0 until 12).map { i ->
                async {
                    val vm = VmId("vm$i")
                    stores[i % 3].submit(StoreCommand.ClaimKey(IdempotencyKey("k"), "d", vm, 0), LIMIT_MS)
                }
            }.awaitAll()
            assertEquals(1, replies.count { it == SubmitOutcome.Done(StoreReply.Claimed) })
        }

        @Test
        fun `reports not accepted if no voter is reachable`() = runBlocking<Unit> {
            startVoters().first().accepted(command("m"))
            val isolated = start(VmId("d"), withDisk = false)
            cut += VmId("d")
            assertIs<SubmitOutcome.NotAccepted>(isolated.submit(command("n"), SHORT_MS))
        }

        @Test
        fun `reports not accepted without a majority and accepts again once there is one`() = runBlocking<Unit> {
            val stores = startVoters()
            stores.first().accepted(command("m"))
            kill(voters[1])
            kill(voters[2])
            await { !stores.first().status.value!!.isLeader && stores.first().leader == null }
            assertIs<SubmitOutcome.NotAccepted>(stores.first().submit(command("n"), SHORT_MS))
            assertEquals(1, stores.first().configuration.value.revision)
            start(voters[1])
            assertEquals(2, stores.first().accepted(command("n")).revision)
        }
    }

    @Nested
    inner class Restart {
        @Test
        fun `keeps accepted changes after a kill of all voters and repeats replies to resends`() = runBlocking<Unit> {
            val first = startVoters().first()
            val answers = (0 until 20).map { first.accepted(command("m$it")) }
            voters.forEach { kill(it) }
            val again = startVoters()
            assertEquals(answers, (0 until 20).map { again[it % 3].accepted(command("m$it")) })
            await { again.all { it.configuration.value.revision == 20L } }
        }

        @Test
        fun `readmits a voter that lost its data folder as a new member`() = runBlocking<Unit> {
            val stores = startVoters()
            stores.first().accepted(command("m"))
            val old = stores.last().status.value!!.self
            kill(voters[2])
            base.resolve(voters[2].value).toFile().deleteRecursively()
            val back = start(voters[2])
            await { stores.first().status.value!!.membership.voters.map { it.vm }.toSet() == voters.toSet() }
            await { back.status.value!!.let { it.membership.isVoter(it.self.voter) } }
            await { old !in stores.first().status.value!!.membership.voters }
            kill(voters[1])
            assertEquals(2, back.accepted(command("n")).revision)
        }

        @Test
        fun `refuses a corrupt data folder`() = runBlocking<Unit> {
            startVoters().first().accepted(command("m"))
            kill(voters[0])
            base.resolve("a").resolve("vote").toFile().writeBytes(byteArrayOf(1, 2, 3))
            val opening = RaftStore.open(PeerNode(voters[0]), voters, DiskFolder(base.resolve("a")))
            assertTrue(assertIs<StoreOpenResult.Refused>(opening).reason.startsWith("File vote"))
        }
    }

    @Nested
    inner class Replacement {
        @Test
        fun `replaces a voter on a request to any VM`() = runBlocking<Unit> {
            val stores = startVoters()
            stores.first().accepted(command("m"))
            val spare = VmId("e")
            start(spare)
            kill(voters[2])
            await { running.keys.size == 3 && stores.first().leader?.let { it != voters[2] } == true }
            var outcome: VoterOutcome? = null
            repeat(ATTEMPTS) {
                if (outcome is VoterOutcome.Done) return@repeat
                outcome = stores.first().replaceVoter(VoterReplacement(spare, voters[2]), LIMIT_MS)
                delay(STEP_MS)
            }
            val members = assertIs<VoterOutcome.Done>(outcome).membership
            assertEquals(setOf(voters[0], voters[1], spare), members.voters.map { it.vm }.toSet())
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val LIMIT_MS = 30_000L
        const val SHORT_MS = 700L
        const val STEP_MS = 50L
        const val ATTEMPTS = 60
    }
}
