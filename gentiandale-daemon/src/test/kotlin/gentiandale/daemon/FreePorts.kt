package gentiandale.daemon

import java.io.IOException
import java.net.ServerSocket
import kotlin.random.Random

/** Ports below those that the system gives to outgoing connections, which may take a port before it is listened on. */
private val PORTS = 10_000..32_000

/** Returns [count] different ports that nothing listens on. */
internal fun freePorts(count: Int): List<Int> {
    val reserved = ArrayList<ServerSocket>()
    while (reserved.size < count) {
        try {
            reserved += ServerSocket(PORTS.random(Random.Default))
        } catch (_: IOException) {
            continue
        }
    }
    return reserved.onEach { it.close() }.map { it.localPort }
}
