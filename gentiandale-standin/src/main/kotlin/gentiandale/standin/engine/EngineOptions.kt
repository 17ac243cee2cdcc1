package gentiandale.standin.engine

import gentiandale.core.ServerFacts
import gentiandale.standin.announce.ReportSchedule
import gentiandale.standin.fault.FaultPlan

/**
 * Speeds of a stand-in engine.
 *
 * @param prefillTokensPerSecond prompt tokens that it prefills per second.
 * @param tokenMs time between two tokens of an answer in milliseconds while only one request runs.
 * @param tokenMsPerRequest time added between tokens for each additional request in the batch, in milliseconds.
 * @param kvLifetimeMs time until a KV cache that has not been exported expires, in milliseconds.
 * @param kvBytesPerToken size of the KV cache of one token in bytes.
 * @param linkBytesPerSecond bandwidth of the link over which KV caches are exported, one at a time.
 * @param loadMs time that an order takes in milliseconds.
 */
public data class EngineSpeeds(
    val prefillTokensPerSecond: Double = 20_000.0,
    val tokenMs: Double = 20.0,
    val tokenMsPerRequest: Double = 0.5,
    val kvLifetimeMs: Long = 800,
    val kvBytesPerToken: Long = 100_000,
    val linkBytesPerSecond: Double = 2e9,
    val loadMs: Long = 200,
)

/**
 * Configuration of a stand-in engine.
 *
 * @param cacheBlocks size of its prefix cache in blocks.
 * @param cacheEventLossProbability probability that a cache event is lost, from 0 to 1.
 */
public data class EngineOptions(
    val facts: ServerFacts,
    val schedule: ReportSchedule,
    val speeds: EngineSpeeds = EngineSpeeds(),
    val faults: FaultPlan = FaultPlan(),
    val cacheBlocks: Int = 200,
    val cacheEventLossProbability: Double = 0.0,
)
