package gentiandale.state

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.FencingNumber
import gentiandale.core.IdempotencyKey
import gentiandale.core.Incarnation
import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServiceName
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class StoreMachineTest {
    private val machine = StoreMachine()

    private fun draft(name: String, expected: Long, body: String = "order: 1", delete: Boolean = false) =
        RecordDraft(RecordId("rank", name), 1, expected, body, delete)

    private fun apply(key: String, vararg drafts: RecordDraft, atMs: Long = 0) =
        machine.apply(StoreCommand.ApplyRecords(OperationKey(key), drafts.toList(), atMs))

    private fun claim(key: String, digest: String = "d", atMs: Long = 0) =
        machine.apply(StoreCommand.ClaimKey(IdempotencyKey(key), digest, VM, atMs))

    private fun settle(key: String, result: ClaimResult, atMs: Long = 0) =
        machine.apply(StoreCommand.SettleKey(IdempotencyKey(key), VM, result, atMs))

    private fun lease(holder: String, atMs: Long) =
        machine.apply(StoreCommand.AcquireLease("control", VmId(holder), 100, atMs))

    @Nested
    inner class Records {
        @Test
        fun `applies all drafts or none and reports each conflict`() {
            assertIs<StoreReply.Accepted>(apply("k1", draft("a", 0), draft("b", 0)))
            val refused = assertIs<StoreReply.Refused>(apply("k2", draft("a", 1), draft("b", 7), draft("c", 3)))
            assertEquals(
                listOf("records[1].expected_version", "records[2].expected_version"),
                refused.findings.map { it.place.field },
            )
            assertEquals(listOf(1L, 1L), machine.configuration().records.map { it.version })
        }

        @Test
        fun `repeats the first reply to a resend after later changes`() {
            val first = apply("k1", draft("a", 0))
            val refusal = apply("k2", draft("a", 0, "order: 2"))
            apply("k3", draft("a", 1))
            assertEquals(first, apply("k1", draft("a", 0)))
            assertEquals(refusal, apply("k2", draft("a", 0, "order: 2")))
            assertEquals(2, machine.configuration().revision)
        }

        @Test
        fun `rejects an operation key that is reused with other records`() {
            apply("k1", draft("a", 0))
            assertIs<StoreReply.Refused>(apply("k1", draft("b", 0)))
        }

        @Test
        fun `forgets a reply after its lifetime on the clock of the commands`() {
            apply("k1", draft("a", 0))
            assertIs<StoreReply.Accepted>(apply("k1", draft("a", 0), atMs = StoreMachine.OPERATION_LIFETIME_MS - 1))
            assertIs<StoreReply.Refused>(apply("k1", draft("a", 0), atMs = StoreMachine.OPERATION_LIFETIME_MS))
        }

        @Test
        fun `never reuses a version when a record is deleted and recreated`() {
            apply("k1", draft("a", 0))
            apply("k2", draft("a", 1, delete = true))
            val again = assertIs<StoreReply.Accepted>(apply("k3", draft("a", 0)))
            assertEquals(listOf(2L), again.records.map { it.version })
            assertEquals(again, apply("k3", draft("a", 0)))
            assertIs<StoreReply.Refused>(apply("k4", draft("a", 1)))
        }

        @Test
        fun `keeps a bounded history`() {
            repeat(StoreMachine.MAX_HISTORY + 5) { apply("k$it", draft("a", it.toLong())) }
            val changes = machine.history(Int.MAX_VALUE)
            assertEquals(StoreMachine.MAX_HISTORY, changes.size)
            assertEquals(StoreMachine.MAX_HISTORY + 5L, changes.first().revision)
        }
    }

    @Nested
    inner class Claims {
        @Test
        fun `grants a key to one call until the claim expires`() {
            assertEquals(StoreReply.Claimed, claim("k"))
            assertEquals(StoreReply.AlreadyClaimed(VM, null), claim("k"))
            assertEquals(StoreReply.KeyReused, claim("k", "other"))
            assertEquals(StoreReply.Claimed, claim("k", atMs = ClaimLimits.CLAIM_LIFETIME_MS))
        }

        @Test
        fun `releases the key of a call that did not run`() {
            claim("k")
            settle("k", ClaimResult.NotRun)
            assertEquals(StoreReply.Claimed, claim("k"))
        }

        @Test
        fun `does not overwrite a stored answer with a later settlement`() {
            claim("k")
            val answer = ClaimResult.Answered(200, "text/plain", "done")
            settle("k", answer)
            settle("k", ClaimResult.NotRun)
            assertEquals(StoreReply.AlreadyClaimed(VM, answer), claim("k"))
        }

        @Test
        fun `limits the total size of stored answers and stores no oversized one`() {
            val body = "x".repeat(ClaimLimits.MAX_ANSWER_BYTES)
            val count = ClaimLimits.MAX_TOTAL_ANSWER_BYTES / body.length + 1
            repeat(count) {
                claim("k$it")
                settle("k$it", ClaimResult.Answered(200, "text/plain", body))
            }
            claim("long")
            settle("long", ClaimResult.Answered(200, "text/plain", body + "x"))
            assertEquals(StoreReply.AlreadyClaimed(VM, ClaimResult.Unknown), claim("k0"))
            assertIs<ClaimResult.Answered>(assertIs<StoreReply.AlreadyClaimed>(claim("k1")).result)
            assertEquals(StoreReply.AlreadyClaimed(VM, ClaimResult.Unknown), claim("long"))
        }
    }

    @Nested
    inner class Leases {
        @Test
        fun `increases the fencing token for each new holder and after expiry`() {
            assertEquals(StoreReply.LeaseHeld(FencingNumber(1)), lease("a", 0))
            assertEquals(StoreReply.LeaseHeld(FencingNumber(1)), lease("a", 50))
            assertEquals(StoreReply.LeaseTaken(VmId("a"), 50), lease("b", 100))
            assertEquals(StoreReply.LeaseHeld(FencingNumber(2)), lease("a", 150))
            assertEquals(StoreReply.LeaseHeld(FencingNumber(3)), lease("b", 250))
        }

        @Test
        fun `does not let the clock go backwards`() {
            lease("a", 1_000)
            assertEquals(StoreReply.LeaseTaken(VmId("a"), 100), lease("b", 0))
        }
    }

    @Nested
    inner class Snapshots {
        @Test
        fun `restores the whole state`() {
            apply("k1", draft("a", 0), draft("b", 0))
            apply("k2", draft("b", 1, delete = true))
            claim("c")
            settle("c", ClaimResult.Answered(200, "text/plain", "done"))
            lease("a", 5)
            val copy = StoreMachine()
            copy.restore(decodeWire(encodeWire(machine.snapshot())))
            assertEquals(machine.snapshot(), copy.snapshot())
            assertEquals(machine.configuration(), copy.configuration())
        }
    }

    @Nested
    inner class DeparturesOfServers {
        private fun record(vararg rows: BackendRow, atMs: Long = 0) =
            machine.apply(StoreCommand.RecordDepartures(rows.toList(), atMs))

        private fun row(id: String, sequence: Long, born: Long = 5) = BackendRow(
            id = ServerId(id),
            incarnation = Incarnation(born),
            sequence = sequence,
            service = ServiceName("app"),
            address = Address("10.0.0.1", 80),
            dataCentre = DataCentreId("a"),
            state = BackendState.LEAVING,
            kind = ServerKind.PLAIN,
            places = 6,
        )

        @Test
        fun `keeps the newest row of each server`() {
            assertEquals(StoreReply.DeparturesAt(2), record(row("a", 3), row("b", 1)))
            assertEquals(StoreReply.DeparturesAt(2), record(row("a", 2)))
            assertEquals(StoreReply.DeparturesAt(3), record(row("a", 1, born = 6)))
            assertEquals(listOf(row("b", 1), row("a", 1, born = 6)), machine.departures.all.map { it.row })
        }

        @Test
        fun `survives a snapshot and reads without a change`() {
            record(row("a", 3))
            val copy = StoreMachine()
            copy.restore(decodeWire(encodeWire(machine.snapshot())))
            assertEquals(listOf(row("a", 3)), copy.departures.all.map { it.row })
            assertEquals(StoreReply.DeparturesAt(1), copy.apply(StoreCommand.RecordDepartures(emptyList(), 0)))
        }

        @Test
        fun `forgets a departure after its lifetime and the oldest beyond the limit`() {
            record(row("a", 1), atMs = 1_000)
            record(row("b", 1), atMs = 1_000 + DepartureTable.LIFETIME_MS)
            assertEquals(2, machine.departures.all.size)
            record(*Array(DepartureTable.MAX_DEPARTURES) { row("c$it", 1) }, atMs = 1_001 + DepartureTable.LIFETIME_MS)
            assertEquals(DepartureTable.MAX_DEPARTURES, machine.departures.all.size)
            assertEquals("c0", machine.departures.all.first().row.id.value)
        }
    }

    private companion object {
        val VM = VmId("vm")
    }
}
