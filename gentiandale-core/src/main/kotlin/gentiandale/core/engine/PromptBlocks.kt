package gentiandale.core.engine

/** Estimates prompt lengths and hashes prompt blocks where no tokenizer is available. */
public object PromptBlocks {
    private const val CHARS_PER_TOKEN = 4
    private const val FNV_PRIME = 1_099_511_628_211L
    private const val FNV_OFFSET_BASIS = -3_750_763_034_362_895_579L

    /** Returns the estimated number of tokens of [prompt], rounded up. */
    public fun tokens(prompt: String): Int = (prompt.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

    /**
     * Returns the hashes of the full leading blocks of [prompt], first block first. Each hash covers the prompt up to
     * the end of its block (64-bit FNV-1a over UTF-16 units), so equal hashes mean equal prefixes.
     *
     * @param blockTokens tokens in one block.
     */
    public fun hashes(prompt: String, blockTokens: Int): List<Long> {
        val blockChars = blockTokens * CHARS_PER_TOKEN
        var hash = FNV_OFFSET_BASIS
        val hashes = ArrayList<Long>(prompt.length / blockChars)
        for (i in 0 until prompt.length - prompt.length % blockChars) {
            hash = (hash xor prompt[i].code.toLong()) * FNV_PRIME
            if ((i + 1) % blockChars == 0) hashes += hash
        }
        return hashes
    }
}
