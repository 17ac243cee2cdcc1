package gentiandale.standin.engine

import java.util.concurrent.atomic.AtomicLong

/** Counters of the work that an engine has done since its start. */
internal class EngineCounters {
    /** Prompt tokens prefilled, without those found in the prefix cache. */
    val prefillTokensRun = AtomicLong()

    /** Prompt tokens found in the prefix cache. */
    val prefillTokensCached = AtomicLong()

    /** Prompt tokens prefilled for a KV cache that was never exported. */
    val prefillTokensWasted = AtomicLong()

    /** Answer tokens sent. */
    val tokensSent = AtomicLong()

    /** Decode streams that sent their final event. */
    val answersFinished = AtomicLong()
}
