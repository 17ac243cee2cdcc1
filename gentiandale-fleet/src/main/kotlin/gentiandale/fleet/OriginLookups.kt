package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.SoftwareVersion
import gentiandale.core.backend.StreamId

/** Questions of an entry VM to all control VMs about the origin of streams. Not thread-safe. */
internal class OriginLookups(private val clock: Clock, private val sender: FleetSender) {
    private class Pending(
        val asked: Int,
        val awaited: MutableSet<VmId>,
        val untilMs: Long,
        val done: (OriginLookup) -> Unit,
    ) {
        val versions = HashSet<SoftwareVersion>()
        var complete = 0
    }

    /** Starts at the time of day, so that a late answer to an earlier process of this VM fits no question. */
    private var lastQuestion = clock.wallMs()
    private val pending = HashMap<Long, Pending>()

    /** Asks [controlVms] for the origin of [stream] of [service], and calls [done] with the first or common answer. */
    fun find(stream: StreamId?, service: ServiceName, controlVms: Set<VmId>, done: (OriginLookup) -> Unit) {
        if (controlVms.isEmpty() || pending.size >= MAX_PENDING) return done(OriginLookup.Unanswered)
        val question = FleetMessage.OriginQuestion(++lastQuestion, stream, service)
        val untilMs = clock.monotonicMs() + TIMEOUT_MS
        pending[question.number] = Pending(controlVms.size, controlVms.toMutableSet(), untilMs, done)
        controlVms.forEach { sender.send(it, question) }
    }

    /** Handles [answer] of the control VM [from]. */
    fun onAnswer(from: VmId, answer: FleetMessage.OriginAnswer) {
        val question = pending[answer.number] ?: return
        if (!question.awaited.remove(from)) return
        question.versions += answer.versions
        if (answer.isComplete) question.complete++
        val origin = answer.origin
        when {
            answer.isAmbiguous -> end(answer.number, question, OriginLookup.Ambiguous)
            origin != null -> end(answer.number, question, OriginLookup.Found(origin, from.value, answer.unsettledMs))
            question.awaited.isEmpty() -> {
                val isComplete = question.complete * 2 > question.asked
                end(answer.number, question, OriginLookup.NotRecorded(question.versions, isComplete))
            }
        }
    }

    private fun end(number: Long, question: Pending, result: OriginLookup) {
        pending -= number
        question.done(result)
    }

    /** Ends the questions that were not answered in time. */
    fun tick() {
        val now = clock.monotonicMs()
        val expired = pending.filterValues { now >= it.untilMs }
        expired.forEach { (number, question) -> end(number, question, OriginLookup.Unanswered) }
    }

    private companion object {
        /** After this time no answer is expected; whoever asks may stop waiting sooner. */
        const val TIMEOUT_MS = 500L

        /** Questions at once, above which callers are sent elsewhere. */
        const val MAX_PENDING = 10_000
    }
}
