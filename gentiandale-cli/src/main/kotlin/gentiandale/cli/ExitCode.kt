package gentiandale.cli

/** Exit codes of the command-line tool. Success is 0. */
internal object ExitCode {
    /** The VM refused the call; nothing was changed. */
    const val REFUSED = 1

    /** The command line or an input file is invalid; nothing was sent. */
    const val BAD_INPUT = 2

    /** The VM could not be reached; nothing was changed. Reads and drain also use it if they get no usable answer. */
    const val NOT_REACHABLE = 3

    /** It is unknown whether the change was accepted; a submission can be retried with the same operation key. */
    const val OUTCOME_UNKNOWN = 4
}
