package gentiandale.daemon.claim

import gentiandale.core.Incarnation
import gentiandale.core.VmId

/**
 * Identifies the holder of a claim: one [call] in one [incarnation] of a VM. A VM that has restarted therefore does not
 * take a claim of an earlier incarnation for its own, and a call recognises its own claim if the store reports it as
 * already claimed.
 */
internal data class HolderToken(val vm: VmId, val incarnation: Incarnation, val call: Long) {
    /** Returns the token as it is written to the store. */
    fun toHolder(): VmId = VmId("$vm$SEPARATOR$incarnation$SEPARATOR$call")

    /** Parser of tokens. */
    companion object {
        private const val SEPARATOR = '~'
        private const val PARTS = 3

        /** Parses [holder], or returns null if it is not a valid token. */
        fun parse(holder: VmId): HolderToken? {
            val parts = holder.value.split(SEPARATOR)
            if (parts.size != PARTS) return null
            val incarnation = parts[1].toLongOrNull() ?: return null
            return HolderToken(VmId(parts[0]), Incarnation(incarnation), parts[2].toLongOrNull() ?: return null)
        }
    }
}
