package gentiandale.daemon.claim

import com.linecorp.armeria.common.AggregatedHttpResponse

private val HEAD = Regex("""HTTP/1\.[01] (\d{3})[^\r\n]*\r?\n((?:[^\r\n:]+:[^\r\n]*\r?\n)*+)\r?\n""")

/**
 * Returns whether the content contains a head with the status and all header names of this response. The content of a
 * response without a length goes on to the end of its connection, and so includes a second response of the server. A
 * document about HTTP may contain other heads.
 */
internal fun AggregatedHttpResponse.containsOwnHead(): Boolean {
    val status = status().codeAsText()
    val names = headers().names().map { it.toString() }.filterNot { it.startsWith(":") }
    return HEAD.findAll(content().toString(Charsets.ISO_8859_1)).any { head ->
        head.groupValues[1] == status && namesIn(head.groupValues[2]).containsAll(names)
    }
}

private fun namesIn(fields: String): Set<String> =
    fields.lineSequence().map { it.substringBefore(':').trim().lowercase() }.toSet()
