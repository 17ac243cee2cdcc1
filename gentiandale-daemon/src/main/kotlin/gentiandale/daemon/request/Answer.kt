package gentiandale.daemon.request

import gentiandale.core.Refusal
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Part of the answer to a request, in the order of delivery. The last part is [Finished] or [Refused]. */
@Serializable
internal sealed interface Answer {
    /** The token at [index]. */
    @Serializable
    @SerialName("t")
    data class Token(val index: Int, val text: String) : Answer

    /** End of a complete answer of [tokens] tokens; [finish] is the reason why the engine stopped. */
    @Serializable
    @SerialName("f")
    data class Finished(val tokens: Int, val finish: String) : Answer

    /** End of a request that was refused or has failed. */
    @Serializable
    @SerialName("r")
    data class Refused(val refusal: Refusal) : Answer
}
