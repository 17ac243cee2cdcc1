package gentiandale.fleet

import gentiandale.core.log.LogLine

/** Log events about the quotas of customers, as seen by a control VM. */
internal sealed class QuotaLogEvent(name: String) : FleetLogEvent(name) {
    /** The mode of a customer has changed. */
    class ModeChanged(private val standing: QuotaStanding) : QuotaLogEvent("quota-mode") {
        override fun describe(line: LogLine) {
            line.field(
                "customer",
                standing.customer.value,
            ).field("mode", if (standing.isStrict) "strict" else "relaxed")
                .field("level", standing.level).field("burst", standing.burst)
        }
    }

    /**
     * This VM begins or ends to issue quotas.
     *
     * @param reached control VMs that it hears from, with itself, of [known] ones.
     * @param gossiped balances of its predecessor that it knows.
     */
    class RoleChanged(
        private val isIssuer: Boolean,
        private val reached: Int,
        private val known: Int,
        private val gossiped: Int,
    ) : QuotaLogEvent("quota-issuer") {
        override fun describe(line: LogLine) {
            line.field("issuing", isIssuer).field("reached", reached).field("known", known)
                .field("gossiped", gossiped)
        }
    }
}
