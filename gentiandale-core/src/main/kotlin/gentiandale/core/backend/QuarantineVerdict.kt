package gentiandale.core.backend

/** Whether a request may be sent to engines in spite of the crashes that its prompt parts are suspected of. */
public sealed interface QuarantineVerdict {
    /** The request may be sent. */
    public data object Admit : QuarantineVerdict

    /**
     * The request is refused.
     *
     * @param part part that explains [crashes] crashes as well as any part that the request does not hold.
     * @param leftMs time in milliseconds until the oldest of these crashes is forgotten.
     */
    public data class Refuse(val part: PromptPart, val crashes: Int, val leftMs: Long) : QuarantineVerdict
}
