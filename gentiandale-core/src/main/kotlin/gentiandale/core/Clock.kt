package gentiandale.core

/** Source of time. Code that decides by time takes a clock as a parameter, so that tests run in virtual time. */
public interface Clock {
    /** Returns a monotonic time in milliseconds. Only differences are meaningful. */
    public fun monotonicMs(): Long

    /** Returns the wall-clock time in milliseconds since the Unix epoch. */
    public fun wallMs(): Long
}

/** [Clock] of the operating system. */
public object SystemClock : Clock {
    private const val NANOS_PER_MS = 1_000_000L

    override fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

    override fun wallMs(): Long = System.currentTimeMillis()
}

/** [Clock] that moves only by calls of [advance]. */
public class ManualClock(private var now: Long = 0) : Clock {
    override fun monotonicMs(): Long = now

    override fun wallMs(): Long = now

    /** Moves the clock forward by [ms] milliseconds. */
    public fun advance(ms: Long) {
        require(ms >= 0) { "The clock cannot be advanced by a negative time: $ms ms." }
        now += ms
    }
}
