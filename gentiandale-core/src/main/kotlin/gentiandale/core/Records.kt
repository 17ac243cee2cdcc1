package gentiandale.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Identity of a record: its kind and its name.
 *
 * @param kind one of `model`, `adapter`, `version`, `pool`, `rank`.
 */
@Serializable
public data class RecordId(val kind: String, val name: String) {
    override fun toString(): String = "$kind/$name"
}

/**
 * A record as it is stored and passed on. The [body] remains the submitted YAML, so that fields of a newer schema
 * pass unchanged through a process that does not support it.
 *
 * @param schema schema version of the body.
 * @param version number that starts at 1 and increases by one with each accepted change.
 */
@Serializable
public data class StoredRecord(val id: RecordId, val schema: Int, val version: Long, val body: String)

/** Parsed content of a [StoredRecord] whose kind and schema this process supports. */
@Serializable
public sealed interface Record

/**
 * A model that the fleet serves.
 *
 * @param kvBytesPerToken size of the KV cache of one token in bytes.
 */
@Serializable
@SerialName("model")
public data class ModelRecord(val model: ModelId, val kvBytesPerToken: Long) : Record

/** An adapter of [model]. */
@Serializable
@SerialName("adapter")
public data class AdapterRecord(val adapter: AdapterId, val model: ModelId) : Record

/**
 * A version of [model].
 *
 * @param weightBytes size of the weights in bytes.
 */
@Serializable
@SerialName("version")
public data class VersionRecord(val version: String, val model: ModelId, val weightBytes: Long) : Record

/**
 * A pool: the target number of servers of each kind for a model in a data centre.
 *
 * @param prefill number of prefill servers.
 * @param decode number of decode servers.
 */
@Serializable
@SerialName("pool")
public data class PoolRecord(
    val pool: String,
    val dataCentre: DataCentreId,
    val model: ModelId,
    val version: String,
    val prefill: Int,
    val decode: Int,
) : Record

/**
 * A rank of work.
 *
 * @param order place in the order of ranks; 0 is the most urgent.
 * @param minimumShare share of the capacity that the rank keeps under a flood of more urgent work, from 0 to 1.
 * @param firstTokenMs target for the first token in milliseconds.
 * @param betweenTokensMs target between tokens in milliseconds.
 * @param worth worth of a request that meets its targets, relative to the other ranks; from schema 2 on.
 */
@Serializable
@SerialName("rank")
public data class RankRecord(
    val rank: RankId,
    val order: Int,
    val minimumShare: Double = 0.0,
    val firstTokenMs: Long = 660,
    val betweenTokensMs: Long = 77,
    val worth: Double = 1.0,
) : Record
