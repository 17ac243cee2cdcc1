package gentiandale.daemon.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar

/**
 * Field of a YAML document and its location.
 *
 * @param path path from the root, for example `peers[2].http`; empty for the root.
 * @param node value, or null if the field is missing from the document.
 * @param line line of the value, or of the nearest enclosing value where the field is missing.
 */
internal data class YamlField(val path: String, val node: YamlNode?, val line: Int) {
    /** Text of a scalar; null for anything else. */
    val text: String? get() = (node as? YamlScalar)?.content

    /** Whether the field is absent or null. */
    val isMissing: Boolean get() = node == null || node is YamlNull

    /** Elements of a list; empty for anything else. */
    val items: List<YamlField>
        get() = (node as? YamlList)?.items.orEmpty().mapIndexed { i, item ->
            YamlField("$path[$i]", item, item.location.line)
        }

    /** Fields of a map, in the order of the document; empty for anything else. */
    val entries: Map<String, YamlField>
        get() = (node as? YamlMap)?.entries.orEmpty().entries.associate { (key, value) ->
            key.content to YamlField(pathOf(key.content), value, key.location.line)
        }

    /** Returns the field [key] of a map; a missing field if there is none or this is not a map. */
    fun child(key: String): YamlField = entries[key] ?: YamlField(pathOf(key), null, line)

    private fun pathOf(key: String) = if (path.isEmpty()) key else "$path.$key"
}
