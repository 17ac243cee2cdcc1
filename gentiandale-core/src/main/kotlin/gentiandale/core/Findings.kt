package gentiandale.core

import kotlinx.serialization.Serializable

/**
 * Location of a [Finding].
 *
 * @param source file name, or the name of the submitted document.
 * @param line line number from 1, or null if unknown.
 * @param field path of the field, for example `peers[2].http`.
 */
@Serializable
public data class Location(val source: String, val line: Int? = null, val field: String = "") {
    override fun toString(): String {
        val at = if (line == null) source else "$source:$line"
        return if (field.isEmpty()) at else "$at: $field"
    }
}

/** An error in an input, with its [place]. */
@Serializable
public data class Finding(val place: Location, val message: String) {
    override fun toString(): String = "$place: $message"
}

/** Result of validating a whole input: its value, or all findings. */
public sealed interface Checked<out T> {
    /** The input is valid. */
    public data class Valid<T>(val value: T) : Checked<T>

    /** The input is invalid; [findings] has at least one element. */
    public data class Invalid(val findings: List<Finding>) : Checked<Nothing>
}

/** Collects findings about one source. */
public class FindingsBuilder internal constructor(private val source: String) {
    private val found = mutableListOf<Finding>()

    /** Adds a finding about [field]. */
    public fun report(field: String, message: String, line: Int? = null) {
        found += Finding(Location(source, line, field), message)
    }

    /** Adds a finding about [field] unless [condition] holds. */
    public fun check(condition: Boolean, field: String, message: () -> String) {
        if (!condition) report(field, message())
    }

    internal fun build(): List<Finding> = found.toList()
}

/** Runs [checks] against [source] and returns their findings. */
public fun findings(source: String, checks: FindingsBuilder.() -> Unit): List<Finding> =
    FindingsBuilder(source).apply(checks).build()
