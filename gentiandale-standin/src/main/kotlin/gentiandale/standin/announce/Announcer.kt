package gentiandale.standin.announce

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.core.Address
import gentiandale.core.Announcement
import gentiandale.standin.StandinJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/**
 * Announces a backend server to the entry VMs and reports its load periodically. Reports go to the owner that the last
 * response named; if the owner does not respond, the VMs of the [ReportSchedule] are tried in order.
 */
internal class Announcer(private val schedule: ReportSchedule, private val current: () -> Announcement) {
    private val log = LoggerFactory.getLogger("gentiandale.announce")
    private val client = WebClient.builder().responseTimeoutMillis(RESPONSE_TIMEOUT_MS).build()

    @Volatile
    private var owner: Address? = null

    /** Entry VMs in the order in which the next report tries them: the owner, if known, then the configured ones. */
    val targets: List<Address> get() = (listOfNotNull(owner) + schedule.vms).distinct()

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                val announcement = current()
                launch {
                    delay(schedule.lagMs)
                    announce(announcement)
                }
                delay(schedule.periodMs)
            }
        }
    }

    /** Sends the current announcement immediately, without the configured lag. */
    suspend fun announceNow() = announce(current())

    /** Posts [body] to [path] on each target until one accepts it; returns the response body, or null if all fail. */
    suspend fun post(path: String, body: String): String? {
        for (vm in targets) {
            val headers = RequestHeaders.builder(HttpMethod.POST, "http://$vm$path").contentType(MediaType.JSON).build()
            try {
                val response = client.execute(headers, HttpData.ofUtf8(body)).aggregate().await()
                if (response.status().isSuccess) return response.contentUtf8()
                log.info("Entry VM {} rejected POST {}: {}", vm, path, response.contentUtf8())
            } catch (e: Exception) {
                log.debug("POST to entry VM {} failed: {}", vm, e.message)
            }
            if (vm == owner) owner = null
        }
        return null
    }

    private suspend fun announce(announcement: Announcement) {
        val reply = post("/v1/servers", StandinJson.encodeToString(Announcement.serializer(), announcement)) ?: return
        owner = parseOwner(reply)
    }

    private fun parseOwner(reply: String): Address? = try {
        StandinJson.decodeFromString(AnnounceReply.serializer(), reply).owner?.let(Address::parse)
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 1_000L
    }
}
