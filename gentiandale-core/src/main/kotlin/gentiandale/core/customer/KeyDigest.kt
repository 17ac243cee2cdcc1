package gentiandale.core.customer

import java.security.MessageDigest

/**
 * SHA-256 digest of the key by which a customer identifies itself. It replaces the key wherever that is compared,
 * stored with the routing table, logged, or passed to another entry VM.
 */
public class KeyDigest private constructor(private val bytes: ByteArray) {
    /** Returns a copy of the digest, from which [ofDigest] makes an equal one. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    /** Compares in constant time, so that the duration tells nothing about the other digest. */
    override fun equals(other: Any?): Boolean = other is KeyDigest && MessageDigest.isEqual(bytes, other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    /** Returns the first digits of the digest, which tell keys apart and don't reveal them. */
    override fun toString(): String = bytes.take(LOGGED_BYTES).joinToString("") { "%02x".format(it) }

    /** Factories for digests. */
    public companion object {
        private const val ALGORITHM = "SHA-256"
        private const val DIGEST_BYTES = 32
        private const val LOGGED_BYTES = 4

        /** Returns the digest of [key]. */
        public fun ofKey(key: String): KeyDigest =
            KeyDigest(MessageDigest.getInstance(ALGORITHM).digest(key.encodeToByteArray()))

        /** Returns the digest with the content [bytes], or null if they have another length than a digest. */
        public fun ofDigest(bytes: ByteArray): KeyDigest? =
            if (bytes.size == DIGEST_BYTES) KeyDigest(bytes.copyOf()) else null
    }
}
