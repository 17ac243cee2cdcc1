package gentiandale.fleet

import gentiandale.core.VmId

/**
 * Number of entry VMs among which budgets are divided: the highest that a control VM has stated lately. One that was
 * restarted has heard of few entry VMs yet, and a number that is too low lets each VM spend too much.
 */
internal class EntryCount {
    private class Statement(val count: Int, val atMs: Long)

    private val statements = HashMap<VmId, ArrayDeque<Statement>>()

    /** Records that the control VM [from] has stated [count] at [nowMs], and returns the number to use. */
    fun onStated(from: VmId, count: Int, nowMs: Long): Int {
        val stated = statements.getOrPut(from) { ArrayDeque() }
        while (stated.isNotEmpty() && stated.last().count <= count) stated.removeLast()
        stated.addLast(Statement(count, nowMs))
        statements.values.forEach { list -> list.removeIf { nowMs - it.atMs > VALIDITY_MS } }
        statements.values.removeIf { it.isEmpty() }
        return statements.values.maxOf { it.first().count }
    }

    private companion object {
        /** Longer than a budget window, and than a restarted control VM needs to hear of all entry VMs. */
        const val VALIDITY_MS = 12_000L
    }
}
