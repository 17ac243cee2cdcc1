package gentiandale.state.history

/** Input of a [CompareAndSetRegister]. */
sealed interface RegisterInput {
    /** Writes [body] if the current version is [expected]. */
    data class Write(val expected: Long, val body: String) : RegisterInput

    /** Reads the version and the body. */
    data object Read : RegisterInput
}

/** Output of a [CompareAndSetRegister]. */
sealed interface RegisterOutput {
    data class Written(val version: Long) : RegisterOutput

    data object Conflict : RegisterOutput

    data class Value(val version: Long, val body: String?) : RegisterOutput
}

/** Sequential model of one record of the store: a compare-and-set register keyed on its version. */
object CompareAndSetRegister : SequentialModel<RegisterOutput.Value, RegisterInput, RegisterOutput> {
    override val initial = RegisterOutput.Value(0, null)

    override fun nextState(
        state: RegisterOutput.Value,
        input: RegisterInput,
        output: RegisterOutput?,
    ): RegisterOutput.Value? = when (input) {
        is RegisterInput.Read -> state.takeIf { output == state }
        is RegisterInput.Write -> write(state, input, output)
    }

    private fun write(state: RegisterOutput.Value, input: RegisterInput.Write, output: RegisterOutput?) =
        if (input.expected == state.version) {
            val next = RegisterOutput.Value(state.version + 1, input.body)
            next.takeIf { output == null || output == RegisterOutput.Written(next.version) }
        } else {
            state.takeIf { output == null || output == RegisterOutput.Conflict }
        }
}

typealias RegisterOperation = HistoryOperation<RegisterInput, RegisterOutput>
