package gentiandale.core

import kotlinx.serialization.Serializable

/** Identifies one entry VM of the system. */
@Serializable
@JvmInline
public value class VmId(public val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a region, a group of data centres that are close to each other. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one backend server, across restarts, for as long as its operator keeps its name. */
@Serializable
@JvmInline
public value class ServerId(public val value: String) : Comparable<ServerId> {
    override fun compareTo(other: ServerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies one request of a caller across the whole system. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a caller, the unit of fairness within a rank. */
@Serializable
@JvmInline
public value class CallerId(public val value: String) {
    override fun toString(): String = value
}

/** Names a model. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Names an adapter of a model. */
@Serializable
@JvmInline
public value class AdapterId(public val value: String) {
    override fun toString(): String = value
}

/** Names a rank of work. */
@Serializable
@JvmInline
public value class RankId(public val value: String) {
    override fun toString(): String = value
}

/** Key under which an operator resends a submission without a second effect. */
@Serializable
@JvmInline
public value class OperationKey(public val value: String) {
    override fun toString(): String = value
}

/** Key under which a caller's non-repeatable call runs at most once. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** Number of an attempt of one request, from 1. */
@Serializable
@JvmInline
public value class Attempt(public val value: Int) {
    /** Returns the attempt after this one. */
    public fun next(): Attempt = Attempt(value + 1)

    override fun toString(): String = value.toString()

    /** Provides the first attempt. */
    public companion object {
        /** The first attempt of a request. */
        public val FIRST: Attempt = Attempt(1)
    }
}

/** Orders the starts of one VM or backend server: the higher number is the later start. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Fencing token of a lease. It only increases. */
@Serializable
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Network address of a process: an IP address and a port. */
@Serializable
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    /** Parses addresses. */
    public companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`, or returns null if [text] is not of that shape. */
        public fun parse(text: String): Address? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            if (host.isEmpty() || port == null || port !in 1..MAX_PORT) return null
            return Address(host, port)
        }
    }
}
