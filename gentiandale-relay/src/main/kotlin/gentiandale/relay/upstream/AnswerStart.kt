package gentiandale.relay.upstream

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames

/** Where a further answer to a request starts in the body of an answer. */
internal sealed interface AnswerStart {
    /** No further answer starts in the bytes. */
    data object None : AnswerStart

    /** The head of an answer may start at [index], but the bytes end before its id. */
    data class Possible(val index: Int) : AnswerStart

    /** The answer with [id], or without one, starts at [index]. */
    data class Found(val index: Int, val id: String?) : AnswerStart
}

/**
 * Finds the head of a further answer in a body. It is a well-formed head up to its id, which has to be one of the
 * requests that the connection [hasCarried], since a body may hold any text.
 */
internal class AnswerStartFinder(dialect: Dialect, private val hasCarried: (String) -> Boolean) {
    private val idPrefix = "${dialect.requestIdHeader}:"

    /** Whether a head without an id counts, as that of a failure may be. */
    var acceptsNoId = false

    /** Header lines without an id that have been read, so that heads inside one another don't read them again. */
    private var readFrom = 0
    private var readTo = 0

    /** Number of the first readable bytes at which no answer starts, whatever follows. */
    private var searchedBytes = 0

    /** Prepares for a body that is searched from its beginning. */
    fun reset() {
        searchedBytes = 0
    }

    /** Must be called when the first [count] readable bytes have been consumed. */
    fun onConsumed(count: Int) {
        searchedBytes = maxOf(0, searchedBytes - count)
    }

    /**
     * Searches the readable part of [bytes] for an answer that starts before [limit]; its head may go on behind it. A
     * head that was broken off right before the start belongs to it.
     */
    fun find(bytes: ByteBuf, limit: Int = bytes.writerIndex()): AnswerStart {
        val start = findFirst(bytes, bytes.readerIndex() + searchedBytes, limit)
        val first = when (start) {
            is AnswerStart.None -> limit
            is AnswerStart.Possible -> start.index
            is AnswerStart.Found -> start.index
        }
        searchedBytes = maxOf(searchedBytes, first - bytes.readerIndex())
        return when (start) {
            is AnswerStart.None -> start
            is AnswerStart.Possible -> AnswerStart.Possible(withBrokenHeads(bytes, start.index))
            is AnswerStart.Found -> AnswerStart.Found(withBrokenHeads(bytes, start.index), start.id)
        }
    }

    private fun findFirst(bytes: ByteBuf, start: Int, limit: Int): AnswerStart {
        readFrom = 0
        readTo = 0
        var from = if (start < limit) bytes.indexOf(start, limit, FIRST_BYTE) else NOT_FOUND
        while (from >= 0) {
            val found = startAt(bytes, from, MAX_INTERIM_HEADS)
            if (found !is AnswerStart.None) return found
            from = bytes.indexOf(from + 1, limit, FIRST_BYTE)
        }
        return AnswerStart.None
    }

    /** Returns the index of the first of the heads that were broken off one after the other before [index]. */
    private fun withBrokenHeads(bytes: ByteBuf, index: Int): Int {
        var first = index
        var copies = 0
        while (copies++ < MAX_BROKEN_HEADS) {
            val from = maxOf(bytes.readerIndex(), first - MAX_HEAD_BYTES)
            val before = findFirst(bytes.slice(from, first - from), 0, first - from)
            if (before !is AnswerStart.Possible || first - from - before.index < MIN_HEAD_BYTES) break
            first = from + before.index
        }
        return first
    }

    private fun startAt(bytes: ByteBuf, from: Int, interimHeads: Int): AnswerStart {
        if (!matchesPattern(bytes, from)) return AnswerStart.None
        var start: AnswerStart? = null
        var line = from
        while (start == null && line - from < MAX_HEAD_BYTES) {
            val maxBytes = if (line == from) MAX_STATUS_LINE_BYTES else MAX_HEAD_BYTES
            val maxEnd = minOf(bytes.writerIndex(), line + maxBytes)
            val lineFeed = bytes.indexOf(line, maxEnd, LINE_FEED)
            val end = if (lineFeed >= 0) lineFeed + 1 else maxEnd
            val isCut = lineFeed < 0 && end - line < maxBytes
            start = when {
                lineFeed < 0 && !isCut -> AnswerStart.None
                isEndOfHead(bytes, line, end) -> startBehind(bytes, from, end, interimHeads)
                else -> judgeLine(bytes, from, line, end, isCut)
            }
            line = if (line == from || start != null) end else nextUnread(line, end)
        }
        return start ?: AnswerStart.None
    }

    /** Returns where the lines behind the header line from [line] to [end] go on that have not been read. */
    private fun nextUnread(line: Int, end: Int): Int {
        if (line in readFrom..readTo) {
            readTo = maxOf(readTo, end)
        } else {
            readFrom = line
            readTo = end
        }
        return readTo
    }

    private fun isEndOfHead(bytes: ByteBuf, line: Int, end: Int) =
        end - line == END_OF_HEAD_BYTES &&
            bytes.getByte(line) == CARRIAGE_RETURN &&
            bytes.getByte(line + 1) == LINE_FEED

    /** Judges a line, which may be [isCut], of the head at [from]; returns null if the next line decides. */
    private fun judgeLine(bytes: ByteBuf, from: Int, line: Int, end: Int, isCut: Boolean): AnswerStart? {
        val isStatusLine = line == from
        val text = if (isStatusLine) "" else bytes.toString(line, end - line, Charsets.ISO_8859_1)
        return when {
            !(if (isStatusLine) isStatusLine(bytes, line, end) else isHeaderLine(text)) -> AnswerStart.None
            isCut -> AnswerStart.Possible(from)
            isStatusLine -> null
            else -> idOf(text)?.let { if (hasCarried(it)) AnswerStart.Found(from, it) else AnswerStart.None }
        }
    }

    /** Returns where the head that starts at [from] ends, or -1 if it has no end in [bytes] within the limit. */
    fun endOfHead(bytes: ByteBuf, from: Int): Int {
        val maxEnd = minOf(bytes.writerIndex(), from + MAX_HEAD_BYTES)
        var line = from
        var lineFeed = bytes.indexOf(line, maxEnd, LINE_FEED)
        while (lineFeed >= 0 && !isEndOfHead(bytes, line, lineFeed + 1)) {
            line = lineFeed + 1
            lineFeed = bytes.indexOf(line, maxEnd, LINE_FEED)
        }
        return if (lineFeed < 0) -1 else lineFeed + 1
    }

    /** Returns the length of the body as stated in the head from [from] to [end], or null if it states none. */
    fun statedLength(bytes: ByteBuf, from: Int, end: Int): Long? =
        bytes.toString(from, end - from, Charsets.ISO_8859_1).lineSequence()
            .firstOrNull { it.startsWith("${HttpHeaderNames.CONTENT_LENGTH}:", ignoreCase = true) }
            ?.substringAfter(':')?.trim()?.toLongOrNull()?.takeIf { it >= 0 }

    /** Returns whether the bytes from [from] on are, as far as they go, the beginning of a status line. */
    private fun matchesPattern(bytes: ByteBuf, from: Int): Boolean {
        val length = minOf(STATUS_PATTERN.length, bytes.writerIndex() - from)
        var i = 0
        while (i < length && isPatternChar(bytes.getByte(from + i).toInt().toChar(), i)) i++
        return i == length
    }

    private fun isPatternChar(char: Char, index: Int) =
        if (STATUS_PATTERN[index] == DIGIT) char.isAsciiDigit() else char == STATUS_PATTERN[index]

    /** Returns the start of an answer whose head at [from] has no id: an interim head is followed by the final one. */
    private fun startBehind(bytes: ByteBuf, from: Int, next: Int, interimHeads: Int): AnswerStart = when {
        !isInterim(bytes, from) -> if (acceptsNoId) AnswerStart.Found(from, null) else AnswerStart.None
        interimHeads == 0 -> AnswerStart.None
        next == bytes.writerIndex() -> AnswerStart.Possible(from)
        else -> when (val start = startAt(bytes, next, interimHeads - 1)) {
            is AnswerStart.None -> start
            is AnswerStart.Possible -> AnswerStart.Possible(from)
            is AnswerStart.Found -> AnswerStart.Found(from, start.id)
        }
    }

    private fun isInterim(bytes: ByteBuf, from: Int) = bytes.getByte(from + STATUS_INDEX) == '1'.code.toByte()

    /** Returns whether the line from [line] to [end], which matches the pattern, is a status line as far as it goes. */
    private fun isStatusLine(bytes: ByteBuf, line: Int, end: Int): Boolean {
        val reason = line + STATUS_PATTERN.length
        val separator = if (reason < end) bytes.getByte(reason) else SPACE
        val endsValid = bytes.getByte(end - 1) != LINE_FEED || bytes.getByte(end - 2) == CARRIAGE_RETURN
        return (separator == SPACE || separator == CARRIAGE_RETURN) && endsValid
    }

    /** Returns whether [line] is a header line, or the beginning of one if it has no line feed. */
    private fun isHeaderLine(line: String): Boolean {
        val nameLength = line.indexOfFirst { !it.isTokenChar() }
        return when {
            nameLength < 0 -> true
            line == "\r" -> true
            else -> nameLength > 0 && line[nameLength] == ':' && isEndValid(line)
        }
    }

    private fun isEndValid(line: String) = !line.endsWith('\n') || line.endsWith("\r\n")

    private fun idOf(line: String): String? {
        val isId = line.startsWith(idPrefix, ignoreCase = true)
        return if (isId) line.substring(idPrefix.length).trim() else null
    }

    internal companion object {
        /** Shortest beginning of a head that hardly any body ends with. */
        const val MIN_HEAD_BYTES = "HTTP/".length
        private const val NOT_FOUND = -1
        private const val DIGIT = '0'
        private const val STATUS_PATTERN = "HTTP/1.0 000"
        private const val STATUS_INDEX = "HTTP/1.1 ".length
        private const val END_OF_HEAD_BYTES = "\r\n".length
        private const val MAX_STATUS_LINE_BYTES = 256
        private const val MAX_BROKEN_HEADS = 8
        private const val MAX_INTERIM_HEADS = 2
        private const val FIRST_BYTE = 'H'.code.toByte()
        private const val SPACE = ' '.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val LINE_FEED = '\n'.code.toByte()

        /** Many times the part of a head before the id. */
        const val MAX_HEAD_BYTES = 8_192
        private const val TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~"

        private fun Char.isAsciiDigit() = this in '0'..'9'

        private fun Char.isTokenChar() =
            isAsciiDigit() || this in 'a'..'z' || this in 'A'..'Z' || this in TOKEN_PUNCTUATION
    }
}
