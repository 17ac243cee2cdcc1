package gentiandale.standin.service

import gentiandale.core.ServerId
import kotlinx.serialization.Serializable

/**
 * Calls that a plain service has run, served at `GET /standin/report`.
 *
 * @param runs number of runs by idempotency key.
 * @param total number of runs, including calls without a key.
 */
@Serializable
public data class ServiceReport(val server: ServerId, val runs: Map<String, Int>, val total: Long)
