package gentiandale.standin.engine

import gentiandale.core.Attempt
import gentiandale.core.RequestId
import kotlinx.coroutines.Job
import kotlinx.serialization.Serializable

/** Identifies one attempt of a request at an engine. */
@Serializable
public data class WorkId(val request: RequestId, val attempt: Attempt) {
    override fun toString(): String = "$request-$attempt"
}

/** Result of [EngineCapacity.reserve]. */
internal enum class ReservationResult { HELD, DUPLICATE, FULL }

/** Tracks the places and memory blocks of an engine that running attempts have reserved. */
internal class EngineCapacity(private val places: Int, private val memoryBlocks: Int) {
    private class Reservation(val blocks: Int, val job: Job)

    private val reservations = LinkedHashMap<WorkId, Reservation>()

    /** Attempts that hold a reservation, oldest first. */
    val ids: List<WorkId> get() = synchronized(reservations) { reservations.keys.toList() }

    /** Number of reserved memory blocks. */
    val usedBlocks: Int get() = synchronized(reservations) { reservations.values.sumOf { it.blocks } }

    /** Reserves a place and [blocks] memory blocks for [id] until [job] completes. */
    fun reserve(id: WorkId, blocks: Int, job: Job): ReservationResult = synchronized(reservations) {
        when {
            id in reservations -> ReservationResult.DUPLICATE
            reservations.size >= places || usedBlocks + blocks > memoryBlocks -> ReservationResult.FULL
            else -> {
                reservations[id] = Reservation(blocks, job)
                job.invokeOnCompletion { release(id) }
                ReservationResult.HELD
            }
        }
    }

    /** Cancels all attempts of [request] up to [last]; returns whether there were any. */
    fun cancel(request: RequestId, last: Attempt): Boolean {
        val cancelled = synchronized(reservations) {
            reservations.filterKeys { it.request == request && it.attempt.value <= last.value }
        }
        cancelled.values.forEach { it.job.cancel() }
        return cancelled.isNotEmpty()
    }

    private fun release(id: WorkId) {
        synchronized(reservations) { reservations.remove(id) }
    }
}
