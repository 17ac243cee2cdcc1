package gentiandale.relay.placement

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RetryBudgetTest {
    @Test
    fun `the retries of all VMs together stay within the budget in every window`() {
        val budgets = List(9) { RetryBudget(ratio = 0.2, minimum = 58, windowMs = 10_000).also { b -> b.vmCount = 9 } }
        val retries = ArrayList<Long>()
        val requests = ArrayList<Long>()
        for (now in 0L..60_000L step 10) {
            budgets.forEachIndexed { i, budget ->
                if ((now / 10 + i) % 40 == 0L) {
                    budget.onRequest(now)
                    requests += now
                }
                if (budget.tryTake(now)) retries += now
            }
        }
        for (end in 10_000L..60_000L step 500) {
            val window = end - 10_000 + 1..end
            val bound = 0.2 * requests.count { it in window } + 58
            assertTrue(retries.count { it in window } <= bound, "window that ends at $end ms")
        }
    }

    @Test
    fun `an exhausted budget is available again after the window`() {
        val budget = RetryBudget(ratio = 0.0, minimum = 10, windowMs = 1_000).also { it.vmCount = 1 }
        while (budget.tryTake(0)) Unit
        assertFalse(budget.tryTake(999))
        assertTrue(budget.tryTake(1_000))
    }

    @Test
    fun `a retry that is not sent is available again and the others expire as before`() {
        val budget = RetryBudget(ratio = 0.0, minimum = 5, windowMs = 1_000).also { it.vmCount = 1 }
        listOf(0L, 100L, 200L, 300L).forEach { assertTrue(budget.tryTake(it)) }
        budget.refund(chargedMs = 100)
        assertEquals(1, budget.remaining(300))
        assertEquals(2, budget.remaining(1_000))
        assertEquals(3, budget.remaining(1_200))
    }

    @Test
    fun `the minimum is divided among the VMs`() {
        val budget = RetryBudget(ratio = 0.0, minimum = 100, windowMs = 1_000)
        budget.vmCount = 65
        assertEquals(1, budget.remaining(0))
    }

    @Test
    fun `a retry that is renewed counts from then on, and only once`() {
        val budget = RetryBudget(ratio = 0.0, minimum = 5, windowMs = 1_000).also { it.vmCount = 1 }
        repeat(4) { assertTrue(budget.tryTake(it.toLong())) }
        assertTrue(budget.renew(0, 900))
        assertEquals(0, budget.remaining(900))
        assertEquals(3, budget.remaining(1_500))
    }

    @Test
    fun `a retry that has left the window is charged anew, if the budget allows it`() {
        val budget = RetryBudget(ratio = 0.0, minimum = 2, windowMs = 1_000).also { it.vmCount = 1 }
        assertTrue(budget.tryTake(0))
        assertTrue(budget.tryTake(1_500))
        assertFalse(budget.renew(0, 1_600))
    }
}
