package gentiandale.daemon.settings

import gentiandale.core.Address
import gentiandale.core.FindingsBuilder
import io.netty.util.NetUtil
import java.nio.file.Files
import java.nio.file.Path

/** Checks rules on addresses, names and the data folder, skipping fields that don't match the schema. */
internal class SettingsRules(private val findings: FindingsBuilder) {
    /** Reports the findings about the document [root]. */
    fun check(root: YamlField) {
        val vms = listOf(root) + root.child("peers").items
        val addresses = vms.flatMap { listOf(it.child("http"), it.child("peer")) }
        addresses.forEach(::checkAddress)
        checkUnique(addresses, "address")
        checkUnique(vms.map { it.child("vm") }, "VM")
        checkDataFolder(root)
    }

    private fun checkAddress(field: YamlField) {
        val text = field.text ?: return
        val address = Address.parse(text)
        when {
            address == null -> report(field, "'$text' is not host:port with a port from 1 to 65535.")
            !isIpAddress(address.host) -> report(field, "'${address.host}' is not an IP address.")
        }
    }

    private fun isIpAddress(host: String): Boolean {
        val bracketed = host.startsWith('[') && host.endsWith(']')
        if (bracketed) return NetUtil.isValidIpV6Address(host.removeSurrounding("[", "]"))
        return NetUtil.isValidIpV4Address(host)
    }

    private fun checkUnique(fields: List<YamlField>, what: String) {
        fields.filter { it.text != null }.groupBy { it.text }.forEach { (text, same) ->
            same.drop(1).forEach { report(it, "The $what '$text' is already used in ${same.first().path}.") }
        }
    }

    private fun checkDataFolder(root: YamlField) {
        val folder = root.child("data-folder")
        if (root.child("voter").text == "true" && folder.isMissing) {
            report(root.child("voter"), "A voter requires a data-folder.")
        }
        val path = folder.text?.let(Path::of) ?: return
        if (Files.exists(path) && !Files.isDirectory(path)) report(folder, "'$path' is not a folder.")
    }

    private fun report(field: YamlField, message: String) = findings.report(field.path, message, field.line)
}
