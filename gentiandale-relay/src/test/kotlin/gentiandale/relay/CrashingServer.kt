package gentiandale.relay

import java.io.BufferedInputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Server whose process ends, with all its connections, when it begins to answer a request that [isDeadly]. It listens
 * again after [downMs] milliseconds. Requests whose target begins with `/stream/` are answered by events.
 */
class CrashingServer(private val downMs: Long, private val isDeadly: (RawRequest) -> Boolean) : AutoCloseable {
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private var listening = listen(0)

    @Volatile
    private var isClosed = false

    /** Port that stays the same after a crash. */
    val port = listening.localPort

    /** Requests in the order of their arrival. */
    val arrivals = CopyOnWriteArrayList<RawRequest>()

    /** Number of crashes. */
    @Volatile
    var crashes = 0
        private set

    init {
        thread(isDaemon = true) {
            while (!isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull()
                if (socket == null) restart() else serve(socket)
            }
        }
    }

    override fun close() {
        isClosed = true
        listening.close()
        sockets.forEach { it.close() }
    }

    private fun restart() {
        if (isClosed) return
        Thread.sleep(downMs)
        listening = listen(port)
    }

    private fun listen(port: Int) = ServerSocket().also {
        it.reuseAddress = true
        it.bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), port))
    }

    private fun serve(socket: Socket) {
        sockets += socket
        thread(isDaemon = true) {
            runCatching {
                val input = BufferedInputStream(socket.getInputStream())
                while (true) answer(FakeServer.readRequest(input) ?: break, socket)
            }
            sockets -= socket
        }
    }

    private fun answer(request: RawRequest, socket: Socket) {
        arrivals += request
        Thread.sleep(FIRST_TOKEN_MS)
        if (isDeadly(request)) return crash()
        if (!request.target.startsWith("/stream/")) {
            FakeServer.reply(socket, request, "ok")
            return
        }
        FakeServer.begin(socket, request)
        EVENTS.forEach {
            FakeServer.chunk(socket, FakeServer.event(it))
            Thread.sleep(EVENT_INTERVAL_MS)
        }
        socket.getOutputStream().write("0\r\n\r\n".toByteArray())
    }

    private fun crash() {
        crashes++
        listening.close()
        sockets.forEach { it.close() }
        sockets.clear()
    }

    companion object {
        private const val FIRST_TOKEN_MS = 20L
        private const val EVENT_INTERVAL_MS = 50L
        private val EVENTS = 1..10

        /** Parts of the prompt of a request, as [TestDialect] writes them. */
        fun RawRequest.parts(): List<String> = header("parts")?.split(',').orEmpty()
    }
}
