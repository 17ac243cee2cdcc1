package gentiandale.core

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import java.util.concurrent.ConcurrentHashMap

/**
 * Key of a typed cell of the [Blackboard].
 *
 * @param name unique name, shown by `status`.
 * @param initial value of the cell before its first write.
 */
public class BoardKey<T : Any>(public val name: String, public val initial: T) {
    override fun toString(): String = name
}

/**
 * Shared state of one process. Controllers read cells, decide, and write cells; they keep no state that
 * can't be rebuilt from the cells. All operations are thread-safe; each cell is updated atomically.
 */
public class Blackboard {
    private val cells = ConcurrentHashMap<BoardKey<*>, MutableStateFlow<*>>()

    /** Returns the current value of [key]. */
    public operator fun <T : Any> get(key: BoardKey<T>): T = cell(key).value

    /** Replaces the value of [key]. */
    public operator fun <T : Any> set(key: BoardKey<T>, value: T) {
        cell(key).value = value
    }

    /** Applies [change] to [key] atomically. [change] may run more than once and must have no side effects. */
    public fun <T : Any> update(key: BoardKey<T>, change: (T) -> T) {
        cell(key).update(change)
    }

    /** Returns a flow of the values of [key], starting with the current one. Slow collectors skip values. */
    public fun <T : Any> watch(key: BoardKey<T>): StateFlow<T> = cell(key).asStateFlow()

    /** Returns the current values of all cells that have been accessed. */
    public fun snapshot(): Map<BoardKey<*>, Any> = cells.mapValues { requireNotNull(it.value.value) }

    @Suppress("UNCHECKED_CAST")
    private fun <T : Any> cell(key: BoardKey<T>): MutableStateFlow<T> =
        cells.computeIfAbsent(key) { MutableStateFlow(key.initial) } as MutableStateFlow<T>
}
