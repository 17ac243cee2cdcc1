package gentiandale.state.history

import java.util.BitSet

/**
 * Operation of a history.
 *
 * @param output observed output, or null if no reply was received.
 * @param returned time of the reply; [Long.MAX_VALUE] if it is unknown whether the operation took effect.
 */
data class HistoryOperation<I, O>(val input: I, val output: O?, val invoked: Long, val returned: Long)

/** Sequential specification that a history is checked against. */
interface SequentialModel<S, I, O> {
    val initial: S

    /** Returns the state after [input], or null if [output] is not its output. A null [output] matches any. */
    fun nextState(state: S, input: I, output: O?): S?
}

/** Searches for a linearization of a history that [model] allows, with the algorithm of Wing and Gong. */
class LinearizabilityChecker<S, I, O>(private val model: SequentialModel<S, I, O>) {
    private val visited = HashSet<Pair<BitSet, S>>()

    fun isLinearizable(history: List<HistoryOperation<I, O>>): Boolean {
        visited.clear()
        return search(history, BitSet(), model.initial)
    }

    private fun search(history: List<HistoryOperation<I, O>>, done: BitSet, state: S): Boolean {
        val open = history.indices.filter { !done[it] }
        if (open.all { history[it].output == null }) return true
        if (!visited.add(done.clone() as BitSet to state)) return false
        val firstReturn = open.minOf { history[it].returned }
        return open.filter { history[it].invoked <= firstReturn }.any { i ->
            val next = model.nextState(state, history[i].input, history[i].output) ?: return@any false
            val after = (done.clone() as BitSet).also { it.set(i) }
            search(history, after, next)
        }
    }
}
