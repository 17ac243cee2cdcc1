package gentiandale.relay.placement

/** What the answer of a server says about its request limit. */
public sealed interface LimitReading {
    /** The server takes [perSecond] requests a second from all VMs together. */
    public data class Named(val perSecond: Double) : LimitReading

    /** The server takes any number of requests. */
    public data object None : LimitReading

    /** The value makes no sense, so that what the server said before still holds. */
    public data object Invalid : LimitReading
}

/** Reads the request limits that servers name. Answers the load under which a server asks for fewer requests. */
public object LimitPolicy {
    private val DECIMAL = Regex("\\d+(\\.\\d*)?|\\.\\d+")

    /** Higher limits have no effect, as all VMs together do not send a server so many requests. */
    public const val MAX_PER_SECOND: Double = 10_000.0

    /** Returns the meaning of the header [value], a decimal number, or null if the answer has none. */
    public fun read(value: String?): LimitReading {
        val text = value?.trim() ?: return LimitReading.None
        if (!DECIMAL.matches(text)) return LimitReading.Invalid
        val perSecond = text.toDouble()
        return if (perSecond > MAX_PER_SECOND) LimitReading.None else LimitReading.Named(perSecond)
    }
}
