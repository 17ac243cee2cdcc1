package gentiandale.cli.client

/** Result of a call to an entry VM. */
internal sealed interface Reply<out T> {
    /** The call succeeded with [value]. */
    data class Ok<T>(val value: T) : Reply<T>

    /** The VM refused the call; nothing was changed. */
    data class Refused(val problem: ProblemBody) : Reply<Nothing>

    /** The VM could not be reached; nothing was changed. */
    data class NotReachable(val detail: String) : Reply<Nothing>

    /** The call may or may not have taken effect, such as after a broken connection or a time-out. */
    data class OutcomeUnknown(val detail: String) : Reply<Nothing>
}
