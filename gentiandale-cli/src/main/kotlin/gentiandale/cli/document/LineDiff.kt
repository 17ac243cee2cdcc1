package gentiandale.cli.document

/** Returns the line diff of [old] and [new], by longest common subsequence, prefixed with `- `, `+ ` or two spaces. */
internal fun lineDiff(old: List<String>, new: List<String>): List<String> {
    val common = commonLengths(old, new)
    val diff = mutableListOf<String>()
    var i = 0
    var j = 0
    while (i < old.size || j < new.size) {
        val same = i < old.size && j < new.size && old[i] == new[j]
        val removes = i < old.size && (j == new.size || common[i + 1][j] >= common[i][j + 1])
        when {
            same -> diff += "  ${old[i]}"
            removes -> diff += "- ${old[i]}"
            else -> diff += "+ ${new[j]}"
        }
        if (same || removes) i++
        if (same || !removes) j++
    }
    return diff
}

/** Table whose element `[i][j]` is the length of the longest common subsequence of [old] from i and [new] from j. */
private fun commonLengths(old: List<String>, new: List<String>): Array<IntArray> {
    val lengths = Array(old.size + 1) { IntArray(new.size + 1) }
    for (i in old.indices.reversed()) {
        for (j in new.indices.reversed()) {
            lengths[i][j] =
                if (old[i] == new[j]) lengths[i + 1][j + 1] + 1 else maxOf(lengths[i + 1][j], lengths[i][j + 1])
        }
    }
    return lengths
}
