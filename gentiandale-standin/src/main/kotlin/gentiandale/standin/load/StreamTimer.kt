package gentiandale.standin.load

import gentiandale.standin.engine.AnswerText

/** Follows one streamed answer and judges it. Times are read from [nowMs], a monotonic clock. */
internal class StreamTimer(private val planned: PlannedRequest, private val nowMs: () -> Double) {
    private val start = nowMs()
    private val text = StringBuilder()
    private val gaps = mutableListOf<Double>()
    private var tokens = 0
    private var firstMs = 0.0
    private var lastMs = 0.0

    /** Whether a token has come. */
    val started: Boolean get() = tokens > 0

    /** Time since the sending in milliseconds. */
    val elapsedMs: Double get() = nowMs() - start

    /** Takes note of the next token. */
    fun token(next: String) {
        val now = elapsedMs
        if (tokens == 0) firstMs = now else gaps += now - lastMs
        lastMs = now
        tokens++
        text.append(next)
    }

    /** Returns the result of an answer that has said that it is finished. */
    fun finished(): CallResult {
        val expected = AnswerText.full(planned.prompt, planned.maxTokens)
        if (text.toString() == expected) return CallResult.Answered(firstMs, gaps)
        return CallResult.Wrong("$tokens tokens in place of ${planned.maxTokens}, or other ones")
    }
}
