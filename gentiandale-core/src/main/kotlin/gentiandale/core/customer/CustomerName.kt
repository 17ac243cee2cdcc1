package gentiandale.core.customer

import kotlinx.serialization.Serializable

/** Name of a customer, set by the operator and told to backend servers. */
@JvmInline
@Serializable
public value class CustomerName(public val value: String) {
    override fun toString(): String = value
}
