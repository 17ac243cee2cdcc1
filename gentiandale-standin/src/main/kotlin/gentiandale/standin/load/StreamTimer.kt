package gentiandale.standin.load

import gentiandale.standin.engine.AnswerText

/** Records the token times of one streamed answer and verifies its text. [nowMs] must be a monotonic clock. */
internal class StreamTimer(private val planned: PlannedRequest, private val nowMs: () -> Double) {
    private val start = nowMs()
    private val text = StringBuilder()
    private val gaps = mutableListOf<Double>()
    private var tokens = 0
    private var firstMs = 0.0
    private var lastMs = 0.0

    /** Whether at least one token has arrived. */
    val started: Boolean get() = tokens > 0

    /** Milliseconds since the request was sent. */
    val elapsedMs: Double get() = nowMs() - start

    /** Records the arrival of token [next]. */
    fun onToken(next: String) {
        val now = elapsedMs
        if (tokens == 0) firstMs = now else gaps += now - lastMs
        lastMs = now
        tokens++
        text.append(next)
    }

    /** Returns the result of a finished answer: [CallResult.Answered] if the text is the expected one. */
    fun result(): CallResult {
        val expected = AnswerText.full(planned.prompt, planned.maxTokens)
        if (text.toString() == expected) return CallResult.Answered(firstMs, gaps)
        return CallResult.Wrong("text differs from the expected answer: $tokens of ${planned.maxTokens} tokens")
    }
}
