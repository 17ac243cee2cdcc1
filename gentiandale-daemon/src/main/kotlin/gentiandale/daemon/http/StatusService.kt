package gentiandale.daemon.http

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.Clock
import gentiandale.core.KnownServer
import gentiandale.core.VmId
import gentiandale.core.operator.ServerStatus
import gentiandale.core.operator.Status

/** Returns the VMs, servers and further state known to this VM at `GET /v1/status`. */
internal class StatusService(
    private val vm: VmId,
    private val board: Blackboard,
    private val clock: Clock,
) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpJson.encodeToString(Status.serializer(), status()))

    /** Returns the current status. */
    fun status(): Status {
        val now = clock.monotonicMs()
        val active = board[Board.CONFIGURATION]
        val revision = active.configuration.revision
        return Status(
            vm = vm,
            draining = board[Board.DRAINING],
            revision = revision,
            confirmedMsAgo = if (active.confirmedMs == 0L) null else now - active.confirmedMs,
            vms = board[Board.VMS].values.sortedBy { it.vm },
            servers = board[Board.SERVERS].values.sortedBy { it.facts.server }.map { statusOf(it, now) },
            cells = otherBoardEntries(),
        )
    }

    private fun statusOf(server: KnownServer, now: Long) = ServerStatus(server.facts, server.load, now - server.seenMs)

    private fun otherBoardEntries(): Map<String, String> = board.snapshot()
        .filterKeys { it !in KEYS_SHOWN_SEPARATELY }
        .entries
        .sortedBy { it.key.name }
        .associate { it.key.name to it.value.toString().take(MAX_VALUE_CHARS) }

    private companion object {
        const val MAX_VALUE_CHARS = 2_000
        val KEYS_SHOWN_SEPARATELY = setOf(Board.VMS, Board.SERVERS, Board.CONFIGURATION, Board.DRAINING)
    }
}
