package gentiandale.daemon.request

import gentiandale.daemon.Fault
import gentiandale.daemon.FleetFixture
import kotlin.test.BeforeTest
import kotlin.test.Test

/** Callers that leave while an engine stalls; the time limits of the steps are longer than a test waits. */
class CallerDisconnectTest : FleetFixture() {
    override val stepLimits = StepLimits(LIMIT_MS, LIMIT_MS, LIMIT_MS, LIMIT_MS)

    @BeforeTest
    fun start() = startVms()

    @Test
    fun `releases the decode engine`() {
        decodes.forEach { it.faults += Fault.StallAt(2) }
        val response = open()
        await("decode began") { decodes.any { it.held.isNotEmpty() } }
        response.abort()
        assertNothingHeld()
    }

    @Test
    fun `releases the prefill engine`() {
        prefills.forEach { it.faults += Fault.Stall }
        val response = open()
        await("prefill began") { prefills.any { it.held.isNotEmpty() } }
        response.abort()
        assertNothingHeld()
    }

    @Test
    fun `releases the engine although it does not confirm the first cancels`() {
        decodes.forEach { it.unconfirmedCancels.set(3) }
        decodes.forEach { it.faults += Fault.StallAt(2) }
        val response = open()
        await("decode began") { decodes.any { it.held.isNotEmpty() } }
        response.abort()
        assertNothingHeld()
    }

    private companion object {
        const val LIMIT_MS = 60_000L
    }
}
