package gentiandale.core.backend

/** Whether a request may be sent to servers in spite of the crashes that its traits are suspected of. */
public sealed interface QuarantineVerdict {
    /** The request may be sent. */
    public data object Admit : QuarantineVerdict

    /**
     * The request may be sent as the only one with [trait] for a while, to find out whether it crashes a server again.
     */
    public data class Trial(val trait: RequestTrait) : QuarantineVerdict

    /**
     * The request is refused.
     *
     * @param trait trait that explains [crashes] crashes as well as any other one that the request does not hold.
     * @param leftMs time in milliseconds until the next trial, or until the oldest of these crashes is forgotten.
     */
    public data class Refuse(val trait: RequestTrait, val crashes: Int, val leftMs: Long) : QuarantineVerdict
}
