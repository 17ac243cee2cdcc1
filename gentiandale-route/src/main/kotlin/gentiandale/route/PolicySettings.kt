package gentiandale.route

/** Restricts the implicit receivers within the settings builder. */
@DslMarker
public annotation class PolicyDsl

/**
 * Settings of [JointPolicy].
 *
 * @param seed seed for the order in which equal servers are tried.
 * @param prefillWindow requests assigned to a prefill server at the same time: one running, the others queued.
 * @param targetMargin fraction of the first-token target that a predicted time may use, from 0 to 1.
 * @param queueMargin fraction of the first-token target that a predicted time may use when a request is queued. The
 *   rest absorbs requests of other callers that are placed before it later.
 * @param headroomMs time in milliseconds; places for the more urgent arrivals expected within it are kept free.
 * @param overlap whether a place counts as free if it will be free before the prefill ends.
 * @param preemption whether an urgent request may take the place of a less urgent one.
 * @param retryShare retries earned by each submitted request.
 * @param retryBurst maximum number of retries that can accumulate.
 */
public data class PolicySettings(
    val seed: Long,
    val prefillWindow: Int,
    val targetMargin: Double,
    val queueMargin: Double,
    val headroomMs: Double,
    val overlap: Boolean,
    val preemption: Boolean,
    val retryShare: Double,
    val retryBurst: Double,
)

/** Builds [PolicySettings]; every value has a default. */
@PolicyDsl
public class PolicySettingsBuilder internal constructor() {
    /** Seed for the order in which equal servers are tried. */
    public var seed: Long = 1

    /** Requests assigned to a prefill server at the same time. */
    public var prefillWindow: Int = 1

    /** Fraction of the first-token target that a predicted time may use. */
    public var targetMargin: Double = 0.95

    /** Fraction of the first-token target that a predicted time may use when a request is queued. */
    public var queueMargin: Double = 0.5

    /** Time in milliseconds; places for the more urgent arrivals expected within it are kept free. */
    public var headroomMs: Double = 250.0

    /** Whether a place counts as free if it will be free before the prefill ends. */
    public var overlap: Boolean = false

    /** Whether an urgent request may take the place of a less urgent one. */
    public var preemption: Boolean = false

    /** Retries earned by each submitted request. */
    public var retryShare: Double = 0.1

    /** Maximum number of retries that can accumulate. */
    public var retryBurst: Double = 50.0

    internal fun build() =
        PolicySettings(
            seed,
            prefillWindow,
            targetMargin,
            queueMargin,
            headroomMs,
            overlap,
            preemption,
            retryShare,
            retryBurst,
        )
}

/** Builds the settings of a [JointPolicy]. */
public fun policySettings(configure: PolicySettingsBuilder.() -> Unit = {}): PolicySettings =
    PolicySettingsBuilder().apply(configure).build()
