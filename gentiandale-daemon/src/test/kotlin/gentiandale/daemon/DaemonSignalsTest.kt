package gentiandale.daemon

import gentiandale.core.SystemClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Signals to the daemon as a process of its own. */
class DaemonSignalsTest {
    @TempDir
    lateinit var folder: Path

    private var process: Process? = null

    @AfterEach
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    // Guards against a daemon that a signal ends by default after it has begun to accept connections.
    @Test
    fun `SIGTERM as soon as the first port is open ends the daemon in order`() {
        val peerPort = freePort()
        val running = start(httpPort = freePort(), peerPort)
        val endMs = SystemClock.monotonicMs() + START_MS
        while (!isOpen(peerPort)) {
            assertTrue(SystemClock.monotonicMs() < endMs, "the port for other VMs opens")
            Thread.sleep(POLL_MS)
        }
        running.destroy()
        assertEquals(0, exitCode(running))
    }

    @Test
    fun `a daemon that can't listen ends with an error`() {
        ServerSocket(0).use { taken ->
            assertEquals(1, exitCode(start(httpPort = taken.localPort, freePort())))
            assertEquals(1, exitCode(start(httpPort = freePort(), taken.localPort)))
        }
    }

    private fun exitCode(process: Process): Int {
        assertTrue(process.waitFor(START_MS, TimeUnit.MILLISECONDS), "the process ends")
        return process.exitValue()
    }

    private fun freePort() = freePorts(1).single()

    private fun isOpen(port: Int) = try {
        Socket("127.0.0.1", port).use { true }
    } catch (_: IOException) {
        false
    }

    private fun start(httpPort: Int, peerPort: Int): Process {
        val settings = folder.resolve("settings.yaml")
        settings.writeText(
            "vm: vm-1\ndata-centre: a\nregion: r\nhttp: 127.0.0.1:$httpPort\npeer: 127.0.0.1:$peerPort\n" +
                "limits:\n  drain-grace-ms: 0\n",
        )
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val main = listOf("gentiandale.daemon.DaemonCommandKt", "--config", "$settings")
        return ProcessBuilder(listOf(java, "-Xmx64m", "-cp", System.getProperty("java.class.path")) + main)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("output.log").toFile())
            .start()
            .also { process = it }
    }

    private companion object {
        const val START_MS = 20_000L
        const val POLL_MS = 5L
    }
}
