package gentiandale.relay.life

import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import gentiandale.relay.RelayNews
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

/** Code that decides, testable without a network. */
internal class Decisions(
    val plain: PlainPlacement,
    val generations: GenerationPlacement,
    val answers: AnswerLengths,
    val budgetOf: (ServiceName) -> RetryBudget,
    val random: Random,
)

/** What the lives of requests share. It is used by the event loop alone. */
internal class RelayContext(
    val loop: EventLoop,
    val nowMs: () -> Long,
    val book: BackendBook,
    val upstreams: Upstreams,
    val dialect: Dialect,
    val decisions: Decisions,
    val log: EventLog,
    val stats: RelayStats,
    val news: RelayNews,
) {
    val line = GenerationLine(loop, nowMs)
    val plain get() = decisions.plain
    val generations get() = decisions.generations
    val answers get() = decisions.answers
    val random get() = decisions.random

    /** Returns the budget for repeated sends to [service]. */
    fun budgetOf(service: ServiceName): RetryBudget = decisions.budgetOf(service)

    /** Returns the servers of [service] that take work. */
    fun candidates(service: ServiceName): List<Backend> = book.ready(service)
}
