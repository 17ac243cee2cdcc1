package gentiandale.core

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode

/** Result of parsing the body of a record. */
public sealed interface ParsedRecord {
    /** The body is valid and has been parsed to [record]. */
    public data class Valid(val record: Record) : ParsedRecord

    /** This process does not support the kind or the schema of the record. It passes the record on unchanged. */
    public data class Unrecognised(val id: RecordId, val schema: Int) : ParsedRecord

    /** The body is invalid; [findings] has at least one element. */
    public data class Invalid(val findings: List<Finding>) : ParsedRecord
}

/** Kind of a record, with the schema versions that this process supports. */
public enum class RecordKind(public val code: String, public val schemas: IntRange) {
    /** A [ModelRecord]. */
    MODEL("model", 1..1),

    /** An [AdapterRecord]. */
    ADAPTER("adapter", 1..1),

    /** A [VersionRecord]. */
    VERSION("version", 1..1),

    /** A [PoolRecord]. */
    POOL("pool", 1..1),

    /** A [RankRecord]. Schema 2 adds `worth`. */
    RANK("rank", 1..2),
    ;

    /** Looks up kinds by their code. */
    public companion object {
        /** Returns the kind with [code], or null. */
        public fun of(code: String): RecordKind? = entries.find { it.code == code }
    }
}

/**
 * Parses [body] of the record [id].
 *
 * @param source name of the submitted document, for the location of findings.
 * @param prefix path of the body within the document, for example `records[0].body.`.
 */
public fun parseRecord(
    id: RecordId,
    schema: Int,
    body: String,
    source: String = id.toString(),
    prefix: String = "",
): ParsedRecord {
    val kind = RecordKind.of(id.kind)
    if (kind == null || schema > kind.schemas.last) return ParsedRecord.Unrecognised(id, schema)
    var record: Record? = null
    val found = findings(source) {
        check(schema >= kind.schemas.first, "${prefix}schema") { "Schema $schema of ${kind.code} is not supported." }
        val fields = readMap(body, prefix) ?: return@findings
        val reader = BodyReader(fields, this, prefix)
        record = reader.record(kind, id.name, schema)
        reader.reportUnknownFields()
    }
    val parsed = record
    return if (found.isEmpty() && parsed != null) ParsedRecord.Valid(parsed) else ParsedRecord.Invalid(found)
}

/** Parses the body of this record. */
public fun StoredRecord.parse(): ParsedRecord = parseRecord(id, schema, body)

/** Returns the valid records of a supported kind and schema, in the order of their identities. */
public fun Configuration.recognisedRecords(): List<Record> =
    records.mapNotNull { (it.parse() as? ParsedRecord.Valid)?.record }

private fun FindingsBuilder.readMap(body: String, prefix: String): YamlMap? {
    val node: YamlNode = try {
        Yaml.default.parseToYamlNode(body)
    } catch (e: YamlException) {
        report(prefix.removeSuffix("."), "The body is not valid YAML: ${e.message}", e.line)
        return null
    }
    if (node !is YamlMap) report(prefix.removeSuffix("."), "The body is not a map of fields.", node.location.line)
    return node as? YamlMap
}

private val NON_NEGATIVE = 0..Long.MAX_VALUE
private val POSITIVE = 1..Long.MAX_VALUE
private val SERVER_COUNT = 0L..100_000L
private val RANK_ORDER = 0L..1_000L
private val SHARE = 0.0..1.0
private val WORTH = 0.0..1_000_000.0
private const val WORTH_MIN_SCHEMA = 2

private fun BodyReader.record(kind: RecordKind, name: String, schema: Int): Record {
    checkName(kind.code, name)
    return when (kind) {
        RecordKind.MODEL -> ModelRecord(ModelId(name), wholeNumber("kv-bytes-per-token", POSITIVE))
        RecordKind.ADAPTER -> AdapterRecord(AdapterId(name), ModelId(text("model")))
        RecordKind.VERSION -> VersionRecord(name, ModelId(text("model")), wholeNumber("weight-bytes", NON_NEGATIVE))
        RecordKind.POOL -> pool(name)
        RecordKind.RANK -> rank(name, schema)
    }
}

private fun BodyReader.pool(name: String) = PoolRecord(
    pool = name,
    dataCentre = DataCentreId(text("data-centre")),
    model = ModelId(text("model")),
    version = text("version"),
    prefill = wholeNumber("prefill", SERVER_COUNT).toInt(),
    decode = wholeNumber("decode", SERVER_COUNT).toInt(),
)

private fun BodyReader.rank(name: String, schema: Int): RankRecord {
    val rank = RankRecord(RankId(name), wholeNumber("order", RANK_ORDER).toInt())
    return rank.copy(
        minimumShare = decimal("minimum-share", SHARE, rank.minimumShare),
        firstTokenMs = wholeNumber("first-token-ms", POSITIVE, rank.firstTokenMs),
        betweenTokensMs = wholeNumber("between-tokens-ms", POSITIVE, rank.betweenTokensMs),
        worth = if (schema >= WORTH_MIN_SCHEMA) decimal("worth", WORTH, rank.worth) else rank.worth,
    )
}
