package gentiandale.standin

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import gentiandale.core.Address
import gentiandale.core.Announcement
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/** Fake entry VM that records the announcements and cache events of backend servers. */
class FakeVm : AutoCloseable {
    val announcements = CopyOnWriteArrayList<Announcement>()
    val cacheEvents = CopyOnWriteArrayList<String>()

    @Volatile
    var owner: Address? = null

    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .service("/v1/servers") { _, req ->
            HttpResponse.of(req.aggregate().thenApply { onAnnouncement(it.contentUtf8()) })
        }
        .service("/v1/cache-events") { _, req ->
            HttpResponse.of(
                req.aggregate().thenApply {
                    cacheEvents += it.contentUtf8()
                    HttpResponse.of(HttpStatus.OK)
                },
            )
        }
        .build()
        .also { it.start().join() }

    val address: Address get() = Address("127.0.0.1", server.activeLocalPort())

    override fun close() {
        server.stop()
    }

    private fun onAnnouncement(body: String): HttpResponse {
        announcements += StandinJson.decodeFromString(Announcement.serializer(), body)
        val reply = owner?.let { """{"owner":"$it"}""" } ?: "{}"
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, reply)
    }
}
