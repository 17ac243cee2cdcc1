package gentiandale.cli.command

import java.net.URLEncoder

/** Builds a query string from the [parameters] that have a value; empty if none has one. */
internal fun query(vararg parameters: Pair<String, String?>): String {
    val given = parameters.mapNotNull { (name, value) -> value?.let { "$name=${urlEncoded(it)}" } }
    return if (given.isEmpty()) "" else given.joinToString("&", prefix = "?")
}

/** Percent-encodes [text] for use in a path segment or a query parameter. */
internal fun urlEncoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
