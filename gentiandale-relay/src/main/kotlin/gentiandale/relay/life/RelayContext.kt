package gentiandale.relay.life

import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import gentiandale.relay.RelayStats
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.BackendBook
import gentiandale.relay.placement.AnswerLengths
import gentiandale.relay.placement.GenerationPlacement
import gentiandale.relay.placement.PlainPlacement
import gentiandale.relay.placement.RetryBudget
import gentiandale.relay.upstream.Dialect
import gentiandale.relay.upstream.Upstreams
import io.netty.channel.EventLoop
import kotlin.random.Random

/** What the lives of requests share. It is used by the event loop alone. */
internal class RelayContext(
    val loop: EventLoop,
    val nowMs: () -> Long,
    val book: BackendBook,
    val upstreams: Upstreams,
    val dialect: Dialect,
    val plain: PlainPlacement,
    val generations: GenerationPlacement,
    val budgetOf: (ServiceName) -> RetryBudget,
    val random: Random,
    val log: EventLog,
    val stats: RelayStats,
    val line: GenerationLine,
    val answers: AnswerLengths,
    val onLoadChanged: () -> Unit,
) {
    /** Returns the servers of [service] that take work. */
    fun candidates(service: ServiceName): List<Backend> = book.ready(service)
}
