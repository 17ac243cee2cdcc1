package gentiandale.daemon.request

/** Time limits of the steps of an attempt, in milliseconds. An attempt fails when a step exceeds its limit. */
internal data class StepLimits(
    val prefillMs: Long = 15_000,
    val transferMs: Long = 3_000,
    val firstTokenMs: Long = 5_000,
    val nextTokenMs: Long = 5_000,
) {
    /** Returns the limit of [step] in milliseconds. */
    fun of(step: Step): Long = when (step) {
        Step.PREFILL -> prefillMs
        Step.TRANSFER -> transferMs
        Step.FIRST_TOKEN -> firstTokenMs
        Step.NEXT_TOKEN -> nextTokenMs
    }
}
