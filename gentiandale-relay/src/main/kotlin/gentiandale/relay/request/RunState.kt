package gentiandale.relay.request

/** Whether a server may have executed a request that got no answer. */
internal enum class RunState {
    /** No server has started it. */
    NOT_RUN,

    /** A server may have started it. */
    MAY_HAVE_RUN,
}
