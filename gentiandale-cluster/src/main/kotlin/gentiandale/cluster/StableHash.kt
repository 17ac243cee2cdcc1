package gentiandale.cluster

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_1 = -0x40a7b892e31b1a47L
private const val MIX_2 = -0x6b2fb644ecceee15L
private const val SHIFT_1 = 30
private const val SHIFT_2 = 27
private const val SHIFT_3 = 31

/** Returns a 64-bit hash of [text] that is equal in all processes: FNV-1a over the characters, then [mix]. */
internal fun stableHash(text: String): Long {
    var h = FNV_OFFSET
    for (c in text) h = (h xor c.code.toLong()) * FNV_PRIME
    return mix(h)
}

/** Mixes the bits of [value] so that each input bit affects the whole result (the finaliser of SplitMix64). */
internal fun mix(value: Long): Long {
    var h = value
    h = (h xor (h ushr SHIFT_1)) * MIX_1
    h = (h xor (h ushr SHIFT_2)) * MIX_2
    return h xor (h ushr SHIFT_3)
}
