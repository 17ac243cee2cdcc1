package gentiandale.cluster.order

/**
 * Time bounds that the safety of orders depends on, in milliseconds.
 *
 * @param leaseTtlMs time after which a lease that is not renewed expires.
 * @param renewMs age from which a lease is renewed.
 * @param maxClockDriftMs most that any two of the VMs' monotonic clocks and the voters' wall clocks can drift apart
 * within [leaseTtlMs], including steps of the wall clock.
 * @param maxSendPauseMs longest pause of the process between the check of the lease and the hand-over of the order to
 * the kernel.
 * @param maxOrderDelayMs longest time from the hand-over until the order has either reached the engine or can no longer
 * do so; the connection of the order is closed then.
 */
public data class OrderTimes(
    val leaseTtlMs: Long = 30_000,
    val renewMs: Long = 10_000,
    val maxClockDriftMs: Long = 1_000,
    val maxSendPauseMs: Long = 2_000,
    val maxOrderDelayMs: Long = 2_000,
) {
    /** Time that a new holder waits before it sends an order to an engine that does not check fencing tokens. */
    val takeoverWaitMs: Long get() = leaseTtlMs + maxClockDriftMs + maxSendPauseMs + maxOrderDelayMs

    /** Time before the expiry of its lease in which a holder sends no order. */
    val expiryMarginMs: Long get() = maxClockDriftMs
}
