package gentiandale.daemon

import org.junit.jupiter.api.Nested
import kotlin.test.BeforeTest
import kotlin.test.Test

class DefaultPolicyTest : FleetFixture() {
    @BeforeTest
    fun start() = startVms { EntryVm(it) }

    @Nested
    inner class Completion {
        @Test
        fun `is answered under the default routing policy`() {
            assertComplete(complete())
            assertNothingHeld()
        }

        @Test
        fun `is placed again under the default routing policy after its decode engine failed`() {
            decodes.forEach { it.faults += Fault.BreakAt(2) }
            assertComplete(complete())
            assertNothingHeld()
        }
    }
}
