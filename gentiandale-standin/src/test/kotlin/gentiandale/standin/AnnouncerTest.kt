package gentiandale.standin

import gentiandale.core.ServerKind
import gentiandale.standin.service.ServiceReport
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AnnouncerTest : StandinFixture() {
    @Nested
    inner class Owner {
        @Test
        fun `receives the reports that follow the first announcement`() {
            val owner = additionalVm()
            vm.owner = owner.address
            engine(ServerKind.PREFILL)
            await("The owner received no report.") { owner.announcements.isNotEmpty() }
        }

        @Test
        fun `is replaced by a configured VM when it stops responding`() {
            val owner = additionalVm()
            vm.owner = owner.address
            engine(ServerKind.PREFILL)
            await("The owner received no report.") { owner.announcements.isNotEmpty() }
            val before = vm.announcements.size
            owner.close()
            await("The configured VM received no report after the owner closed.") { vm.announcements.size > before }
        }
    }

    @Nested
    inner class Leaving {
        @Test
        fun `is announced before leave returns`() = runBlocking<Unit> {
            val engine = engine(ServerKind.DECODE)
            engine.leave()
            assertTrue(vm.announcements.any { it.facts.leaving })
        }
    }

    @Nested
    inner class PlainService {
        @Test
        fun `counts the runs for each idempotency key`() {
            val service = service()
            listOf("k1", "k2", "k1").forEach { post(service, "/orders", "{}", key = it) }
            val report = StandinJson.decodeFromString(ServiceReport.serializer(), get(service, "/standin/report"))
            assertEquals(mapOf("k1" to 2, "k2" to 1), report.runs)
        }
    }
}
