package gentiandale.core.backend

import kotlinx.serialization.Serializable

/** Id of a part of a prompt that several requests may share, such as a common preamble. */
@Serializable
@JvmInline
public value class PromptPart(public val value: String) {
    override fun toString(): String = value
}
