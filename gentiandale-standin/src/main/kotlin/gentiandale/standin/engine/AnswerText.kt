package gentiandale.standin.engine

/** Generates answer tokens deterministically from the prompt, so that a caller can detect a wrong answer. */
public object AnswerText {
    private const val TAG_COUNT = 1_000

    /** Returns token [index] of the answer to [prompt]. */
    public fun token(prompt: String, index: Int): String = "w$index.${Math.floorMod(prompt.hashCode(), TAG_COUNT)} "

    /** Returns the complete answer to [prompt], [tokens] tokens long. */
    public fun full(prompt: String, tokens: Int): String = (0 until tokens).joinToString("") { token(prompt, it) }
}
