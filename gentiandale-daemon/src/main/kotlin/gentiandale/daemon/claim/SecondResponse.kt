package gentiandale.daemon.claim

import com.linecorp.armeria.common.AggregatedHttpResponse

private val HEAD = Regex("""HTTP/1\.[01] (\d{3})[^\r\n]*\r?\n((?:[^\r\n:]+:[^\r\n]*\r?\n)*+)\r?\n""")
private const val PROTOCOL = "HTTP/"

/** Many times the head of a response. */
private const val MAX_HEAD_BYTES = 8_192

/**
 * Returns whether the content contains a head with the status and all header names of this response. The content of a
 * response without a length goes on to the end of its connection, and so includes a second response of the server. A
 * document about HTTP may contain other heads.
 */
internal fun AggregatedHttpResponse.containsOwnHead(): Boolean {
    val status = status().codeAsText()
    val names = headerNames()
    return HEAD.findAll(content().toString(Charsets.ISO_8859_1)).any { head ->
        head.groupValues[1] == status && namesIn(head.groupValues[2]).containsAll(names)
    }
}

/**
 * Returns whether the content ends inside a head with the status of this response and no other header names than it
 * has, as that of a second response that was cut.
 */
internal fun AggregatedHttpResponse.endsInsideOwnHead(): Boolean {
    val end = content().toString(Charsets.ISO_8859_1).takeLast(MAX_HEAD_BYTES)
    val starts = generateSequence(end.indexOf(PROTOCOL)) { end.indexOf(PROTOCOL, it + 1) }.takeWhile { it >= 0 }
    return starts.any { isBegunHead(end.substring(it).split('\n'), status().codeAsText(), headerNames()) }
}

/** Returns whether [lines], the last without its end, begin a head with [status] and only header names of [names]. */
private fun isBegunHead(lines: List<String>, status: String, names: List<String>): Boolean {
    val isStatusLineCut = lines.size == 1
    if (!isStatusLine(lines.first(), status, isStatusLineCut)) return false
    if (isStatusLineCut) return true
    val areOwn = lines.drop(1).dropLast(1).all { ':' in it && it.substringBefore(':').lowercase() in names }
    val last = lines.last().substringBefore(':').trimEnd('\r').lowercase()
    return areOwn && if (':' in lines.last()) last in names else last.isEmpty() || names.any { it.startsWith(last) }
}

private fun isStatusLine(line: String, status: String, isCut: Boolean): Boolean =
    listOf("HTTP/1.1 $status", "HTTP/1.0 $status").any { line.startsWith(it) || (isCut && it.startsWith(line)) }

private fun AggregatedHttpResponse.headerNames() =
    headers().names().map { it.toString() }.filterNot { it.startsWith(":") }

private fun namesIn(fields: String): Set<String> =
    fields.lineSequence().map { it.substringBefore(':').trim().lowercase() }.toSet()
