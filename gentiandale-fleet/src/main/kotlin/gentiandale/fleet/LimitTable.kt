package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.backend.LimitStatement

/** Newest statement of each backend server about its request limit. */
internal class LimitTable {
    private class Entry(val statement: LimitStatement, val statedMs: Long)

    private val entries = HashMap<ServerId, Entry>()

    /** Merges [statement], received at [nowMs], and returns whether the limit of the server has changed by it. */
    fun merge(statement: LimitStatement, nowMs: Long): Boolean {
        expire(nowMs)
        val statedMs = nowMs - statement.ageMs.coerceAtLeast(0)
        val known = entries[statement.server]
        if (known != null && !isNewer(statement, statedMs, known)) return false
        entries[statement.server] = Entry(statement, statedMs)
        return known == null || known.statement.copy(ageMs = 0) != statement.copy(ageMs = 0)
    }

    private fun isNewer(statement: LimitStatement, statedMs: Long, known: Entry): Boolean {
        val order = statement.incarnation.compareTo(known.statement.incarnation)
        return order > 0 || order == 0 && statedMs >= known.statedMs
    }

    /** Returns all statements, with their ages at [nowMs]. */
    fun statements(nowMs: Long): List<LimitStatement> {
        expire(nowMs)
        return entries.values.map { it.statement.copy(ageMs = nowMs - it.statedMs) }
    }

    private fun expire(nowMs: Long) {
        if (entries.isNotEmpty()) entries.values.removeIf { nowMs - it.statedMs >= LimitStatement.RETENTION_MS }
    }
}
