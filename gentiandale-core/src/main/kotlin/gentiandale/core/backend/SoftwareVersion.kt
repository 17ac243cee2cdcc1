package gentiandale.core.backend

import kotlinx.serialization.Serializable

/** Version of the software of a backend server, not of its model weights; empty if it is unknown. */
@Serializable
@JvmInline
public value class SoftwareVersion(public val value: String) {
    override fun toString(): String = value

    /** Well-known versions. */
    public companion object {
        /** Version of a server that states none. */
        public val UNKNOWN: SoftwareVersion = SoftwareVersion("")
    }
}
