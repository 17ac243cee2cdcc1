package gentiandale.daemon.settings

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import gentiandale.core.Checked
import gentiandale.core.Finding
import gentiandale.core.Location
import gentiandale.core.findings
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads and validates the settings in [file]. A file that can't be read is reported as a finding. */
public fun readSettings(file: Path): Checked<Settings> {
    val text = try {
        file.readText()
    } catch (e: IOException) {
        return Checked.Invalid(listOf(Finding(Location(file.toString()), "The file can't be read: ${e.message}.")))
    }
    return readSettings(file.toString(), text)
}

/** Parses and validates [text] from the file [source]; returns all findings together, in the order of their lines. */
public fun readSettings(source: String, text: String): Checked<Settings> = try {
    val node = Yaml.default.parseToYamlNode(text)
    val root = YamlField("", node, node.location.line)
    val sourceFindings = findings(source) {
        SchemaCheck(this).check(root, Settings.serializer().descriptor)
        SettingsRules(this).check(root)
    }
    if (sourceFindings.isEmpty()) {
        Checked.Valid(Yaml.default.decodeFromYamlNode(Settings.serializer(), node))
    } else {
        Checked.Invalid(sourceFindings.sortedBy { it.place.line })
    }
} catch (e: YamlException) {
    Checked.Invalid(listOf(Finding(Location(source, e.line, e.path.toHumanReadableString()), e.message)))
}
