package gentiandale.core.customer

/**
 * What the requests of one customer may cost, over all entry VMs.
 *
 * @param perSecond cost per second that may run in the long term; greater than 0.
 * @param burst cost that may run at once after a pause.
 */
public data class CustomerQuota(val name: CustomerName, val perSecond: Double, val burst: Double)
