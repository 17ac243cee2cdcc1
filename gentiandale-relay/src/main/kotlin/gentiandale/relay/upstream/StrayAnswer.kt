package gentiandale.relay.upstream

/**
 * Why bytes of a server are not the answer to the request that its connection carries.
 *
 * @param label name in logs and metrics.
 */
public enum class StrayAnswer(public val label: String) {
    /** An answer with the id of another request. */
    FOREIGN("foreign"),

    /** An answer without an id where one is required. */
    NO_ID("no-id"),

    /** Bytes while no answer is due. */
    SURPLUS("surplus"),

    /** Bytes that are no HTTP answer. */
    MALFORMED("malformed"),
}
