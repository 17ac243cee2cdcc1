package gentiandale.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import org.junit.jupiter.api.io.TempDir
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.writeText
import kotlin.test.AfterTest

/** Runs `gentianctl` against a fake entry VM that records its calls and returns a canned [response]. */
abstract class ControlFixture {
    @TempDir
    lateinit var folder: Path

    protected val calls = CopyOnWriteArrayList<AggregatedHttpRequest>()

    @Volatile
    protected var response: () -> HttpResponse = { HttpResponse.of(HttpStatus.OK, MediaType.JSON, "{}") }

    private val server = Server.builder().http(InetSocketAddress("127.0.0.1", 0))
        .service("regex:^/.*$") { _, req ->
            HttpResponse.of(
                req.aggregate().thenApply {
                    calls += it
                    response()
                },
            )
        }
        .build()
        .also { it.start().join() }

    @AfterTest
    fun stop() {
        server.stop()
    }

    protected val rank = """
        |# Ranks of work
        |kind: rank
        |name: urgent
        |schema: 1
        |version: 2
        |spec:
        |  order: 0
        |  first-token-ms: 500
        |---
        |kind: rank
        |name: routine
        |spec: {order: 1}
        |
    """.trimMargin()

    protected fun file(text: String): Path = folder.resolve("ranks.yaml").apply { writeText(text) }

    protected fun run(vararg args: String): CliktCommandTestResult =
        ControlCommand().test(listOf("--vm", "127.0.0.1:${server.activeLocalPort()}") + args)

    protected fun respond(json: String, status: Int = 200) {
        response = { HttpResponse.of(HttpStatus.valueOf(status), MediaType.JSON, json) }
    }
}
