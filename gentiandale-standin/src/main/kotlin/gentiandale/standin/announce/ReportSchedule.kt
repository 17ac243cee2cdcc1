package gentiandale.standin.announce

import gentiandale.core.Address

/**
 * Targets and timing of the load reports of a stand-in.
 *
 * @param vms entry VMs to which the stand-in announces itself, in order of preference.
 * @param periodMs interval between reports in milliseconds.
 * @param lagMs delay between sampling the load and sending the report, in milliseconds.
 */
public data class ReportSchedule(val vms: List<Address>, val periodMs: Long = 500, val lagMs: Long = 0)
