package gentiandale.state.raft

import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.state.RecordDraft
import gentiandale.state.StoreCommand
import gentiandale.state.StoreReply
import gentiandale.state.SubmitOutcome
import gentiandale.state.history.RegisterInput
import gentiandale.state.history.RegisterOperation
import gentiandale.state.history.RegisterOutput
import kotlin.random.Random

/** Operator that updates records concurrently with others and resends under the same key after a lost reply. */
class SimulatedOperator(private val name: String, private val simulation: Simulation, private val random: Random) {
    private var count = 0
    private var stopped = false

    val history = mutableListOf<Pair<RecordId, RegisterOperation>>()

    fun start() = startNext()

    fun stop() {
        stopped = true
    }

    private fun startNext() {
        if (stopped) return
        val id = simulation.records.random(random)
        val known = simulation.nodes.random(random).configuration?.find(id)?.version ?: 0
        Operation(id, RegisterInput.Write(known, "order: ${count++} # $name")).send()
    }

    private inner class Operation(private val id: RecordId, private val input: RegisterInput.Write) {
        private val invokedMs = simulation.time.nowMs
        private val key = OperationKey("$name-$count")
        private var attempt = 0
        private var mayBeCommitted = false
        private var finished = false

        fun send() {
            val number = ++attempt
            val draft = RecordDraft(id, 1, input.expected, input.body)
            val command = StoreCommand.ApplyRecords(key, listOf(draft), 0)
            val node = simulation.nodes.random(random)
            simulation.time.after(random.nextLong(1, MAX_DELAY_MS)) {
                node.submit(command) { outcome ->
                    val lost = random.nextInt(LOST_REPLY_ONE_IN) == 0
                    if (!lost) simulation.time.after(random.nextLong(1, MAX_DELAY_MS)) { onOutcome(number, outcome) }
                }
            }
            simulation.time.after(TIMEOUT_MS) { onOutcome(number, SubmitOutcome.NotKnown("timeout")) }
        }

        private fun onOutcome(number: Int, outcome: SubmitOutcome) {
            if (finished || number != attempt) return
            when (outcome) {
                is SubmitOutcome.Done -> finish(outputOf(outcome.reply), simulation.time.nowMs)
                is SubmitOutcome.NotKnown -> retry(mayHaveRun = true)
                is SubmitOutcome.NotAccepted -> retry(mayHaveRun = false)
            }
        }

        private fun retry(mayHaveRun: Boolean) {
            mayBeCommitted = mayBeCommitted || mayHaveRun
            val gaveUp = stopped || random.nextInt(GIVE_UP_ONE_IN) == 0
            when {
                !gaveUp -> simulation.time.after(random.nextLong(RETRY_MS)) { if (!finished) send() }
                mayBeCommitted -> finish(null, Long.MAX_VALUE)
                else -> finishAndContinue()
            }
        }

        private fun finish(output: RegisterOutput?, returnedMs: Long) {
            history += id to RegisterOperation(input, output, invokedMs, returnedMs)
            finishAndContinue()
        }

        private fun finishAndContinue() {
            finished = true
            simulation.time.after(random.nextLong(THINK_MS)) { startNext() }
        }

        private fun outputOf(reply: StoreReply): RegisterOutput = when (reply) {
            is StoreReply.Accepted -> RegisterOutput.Written(reply.records.single().version)
            else -> RegisterOutput.Conflict
        }
    }

    private companion object {
        const val MAX_DELAY_MS = 20L
        const val LOST_REPLY_ONE_IN = 5
        const val GIVE_UP_ONE_IN = 8
        const val TIMEOUT_MS = 1_500L
        const val RETRY_MS = 300L
        const val THINK_MS = 400L
    }
}
