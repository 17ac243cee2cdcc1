package gentiandale.core

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RecordParserTest {
    private fun parse(kind: String, name: String, schema: Int, vararg lines: String) =
        parseRecord(RecordId(kind, name), schema, lines.joinToString("\n"), "submission", "records[0].body.")

    private fun valid(parsed: ParsedRecord) = assertIs<ParsedRecord.Valid>(parsed).record

    @Nested
    inner class Schemas {
        @Test
        fun `parses the old and the new schema of a rank`() {
            val old = parse("rank", "urgent", 1, "order: 0", "first-token-ms: 660")
            val new = parse("rank", "routine", 2, "order: 1", "minimum-share: 0.1", "worth: 0.25")
            assertEquals(RankRecord(RankId("urgent"), 0), valid(old))
            assertEquals(RankRecord(RankId("routine"), 1, minimumShare = 0.1, worth = 0.25), valid(new))
        }

        @Test
        fun `rejects a field of schema 2 in schema 1`() {
            val findings = assertIs<ParsedRecord.Invalid>(parse("rank", "a", 1, "order: 0", "worth: 2")).findings
            assertEquals(listOf("records[0].body.worth"), findings.map { it.place.field })
        }

        @Test
        fun `does not parse a newer schema or an unknown kind`() {
            assertIs<ParsedRecord.Unrecognised>(parse("rank", "urgent", 9, "anything: [1, {a: b}]"))
            assertIs<ParsedRecord.Unrecognised>(parse("quota", "urgent", 1, "- 1"))
        }

        @Test
        fun `leaves a record of a newer schema out of the recognised ones`() {
            val records = listOf(
                StoredRecord(RecordId("model", "m"), 1, 1, "kv-bytes-per-token: 7"),
                StoredRecord(RecordId("model", "n"), 9, 1, "future: true"),
            )
            assertEquals(listOf<Record>(ModelRecord(ModelId("m"), 7)), Configuration(2, records).recognisedRecords())
        }
    }

    @Nested
    inner class Findings {
        @Test
        fun `reports all findings of a body with field and line`() {
            val body = arrayOf("data-centre: ''", "model: [a]", "prefill: -1", "decode: many", "colour: red")
            val findings = assertIs<ParsedRecord.Invalid>(parse("pool", "p", 1, *body)).findings
            val places = findings.map { it.place.line to it.place.field.removePrefix("records[0].body.") }
            val expected = listOf(
                1 to "data-centre",
                2 to "model",
                null to "version",
                3 to "prefill",
                4 to "decode",
                5 to "colour",
            )
            assertEquals(expected, places)
        }

        @Test
        fun `reports a body that is not a map`() {
            val findings = assertIs<ParsedRecord.Invalid>(parse("model", "m", 1, "- 1")).findings
            assertEquals(listOf("records[0].body"), findings.map { it.place.field })
        }

        @Test
        fun `reports a name that differs from the name of the record`() {
            val parsed = parse("model", "m", 1, "model: n", "kv-bytes-per-token: 1")
            assertEquals(1, assertIs<ParsedRecord.Invalid>(parsed).findings.size)
        }
    }
}
