package gentiandale.relay.request

import gentiandale.relay.upstream.AnswerFraming

/** What follows the last whole event of a stream. */
internal enum class StreamTail {
    /** Nothing but empty lines and whole comments. */
    CLEAN,

    /** A comment without the end of its line. */
    UNFINISHED_COMMENT,

    /** A part of an event. */
    UNFINISHED_EVENT,
}

/** Whether the end of a server's answer is the end of the whole answer. */
internal sealed interface AnswerEnd {
    /** The answer is complete. */
    data object Whole : AnswerEnd

    /** The server broke the answer off for [reason], although its framing shows an end. */
    data class BrokenOff(val reason: String) : AnswerEnd

    /** The answer ended with its connection, which the end of the server's process closes in the same way. */
    data object Unproven : AnswerEnd

    companion object {
        /**
         * Judges the end of an event stream. The framing alone proves nothing: a body that ends with its connection has
         * no mark of its own, and a server may frame a truncated body.
         *
         * @param events number of whole events of the answer.
         */
        fun ofStream(framing: AnswerFraming, events: Int, tail: StreamTail): AnswerEnd = when {
            tail == StreamTail.UNFINISHED_EVENT -> BrokenOff("stream ended inside an event, framing ${framing.label}")
            framing != AnswerFraming.CONNECTION_END -> Whole
            tail == StreamTail.UNFINISHED_COMMENT -> BrokenOff("stream ended inside a comment with its connection")
            events == 0 -> BrokenOff("stream ended before its first event with its connection")
            else -> Unproven
        }

        /** Judges the end of an answer that is not an event stream; only a success claims to be the whole answer. */
        fun ofPlain(framing: AnswerFraming, isSuccess: Boolean): AnswerEnd =
            if (framing == AnswerFraming.CONNECTION_END && isSuccess) Unproven else Whole
    }
}
