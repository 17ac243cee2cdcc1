package gentiandale.standin.engine

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import gentiandale.core.AdapterId
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.standin.announce.AnnounceOptions
import gentiandale.standin.fault.FaultOptions
import gentiandale.standin.runUntilStopped

/** Command that runs a stand-in for a model engine. */
internal class EngineCommand : CliktCommand(name = "engine") {
    private val announce by AnnounceOptions()
    private val faults by FaultOptions()
    private val kind by option("--kind", help = "prefill or decode.").enum<ServerKind>().required()
    private val model by option("--model").default("chat-small")
    private val version by option("--model-version")
    private val adapters by option("--adapter", help = "Name of a loaded adapter; may be repeated.").multiple()
    private val places by option("--places", help = "Maximum concurrent requests.").int().default(20)
    private val blocks by option("--memory-blocks", help = "Size of the engine memory in blocks.").int().default(400)
    private val blockTokens by option("--block-tokens", help = "Tokens per block of engine memory.")
        .int()
        .default(ServerFacts.DEFAULT_BLOCK_TOKENS)
    private val prefillRate by option("--prefill-tokens-per-second").double().default(20_000.0)
    private val tokenMs by option("--token-ms", help = "Milliseconds between tokens.").double().default(20.0)
    private val tokenMsPerRequest by option("--token-ms-per-request", help = "Milliseconds added per further request.")
        .double()
        .default(0.5)
    private val kvLifetimeMs by option("--kv-lifetime-ms").long().default(800)
    private val kvBytesPerToken by option("--kv-bytes-per-token").long().default(100_000)
    private val linkRate by option("--link-bytes-per-second").double().default(2e9)
    private val loadMs by option("--load-ms", help = "Milliseconds that an order takes.").long().default(200)
    private val cacheBlocks by option("--cache-blocks", help = "Size of the prefix cache in blocks.").int().default(200)
    private val cacheEventLoss by option("--cache-event-gap", help = "Probability that a cache event is lost.")
        .double()
        .default(0.0)
    private val checksFencing by option("--checks-fencing", help = "Reject orders with old fencing tokens.").flag()

    override fun help(context: Context): String = "Runs a stand-in for a model engine."

    override fun run() {
        val options = EngineOptions(facts(), announce.schedule(), speeds(), faults.plan(), cacheBlocks, cacheEventLoss)
        EngineStandin(options).runUntilStopped(announce.leaveGraceMs)
    }

    private fun speeds() = EngineSpeeds(
        prefillTokensPerSecond = prefillRate,
        tokenMs = tokenMs,
        tokenMsPerRequest = tokenMsPerRequest,
        kvLifetimeMs = kvLifetimeMs,
        kvBytesPerToken = kvBytesPerToken,
        linkBytesPerSecond = linkRate,
        loadMs = loadMs,
    )

    private fun facts() = ServerFacts(
        server = ServerId(announce.name),
        incarnation = Incarnation(System.currentTimeMillis()),
        address = announce.listen,
        dataCentre = DataCentreId(announce.dataCentre),
        kind = kind,
        model = ModelId(model),
        adapters = adapters.map(::AdapterId).toSet(),
        version = version,
        places = places,
        memoryBlocks = blocks,
        blockTokens = blockTokens,
        prefillTokensPerSecond = prefillRate,
        linkBytesPerSecond = linkRate,
        checksFencing = checksFencing,
    )
}
