package gentiandale.daemon.http

/** Names of the headers that callers may send. */
internal object CallHeaders {
    /** Identifier of the request, unique among the requests of the caller. */
    const val REQUEST_ID = "x-request-id"

    /** Name of the caller; fairness is between callers. */
    const val CALLER = "x-gentian-caller"

    /** Rank of the request. */
    const val RANK = "x-gentian-rank"

    /** Time in milliseconds, counted from receipt, after which the caller no longer waits. */
    const val DEADLINE_MS = "x-gentian-deadline-ms"

    /** `false` for a call that must run at most once, `true` for one that may be repeated. */
    const val REPEATABLE = "x-gentian-repeatable"

    /** Idempotency key under which a call that must not be repeated runs at most once. */
    const val IDEMPOTENCY_KEY = "idempotency-key"
}
