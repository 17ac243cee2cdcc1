package gentiandale.daemon.http

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.core.DataCentreId
import gentiandale.core.RegionId
import gentiandale.core.VmId
import gentiandale.daemon.EntryVm
import gentiandale.daemon.freePorts
import gentiandale.daemon.settings.PeerSettings
import gentiandale.daemon.settings.Settings
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RecordsServiceTest {
    private val base = Files.createTempDirectory("records")
    private val http = WebClient.builder().responseTimeoutMillis(60_000).build()
    private val vms = LinkedHashMap<String, EntryVm>()
    private lateinit var peers: List<PeerSettings>

    @BeforeTest
    fun start() {
        val ports = freePorts(6)
        peers = List(3) { i ->
            val address = "127.0.0.1:${ports[2 * i]}"
            val peer = "127.0.0.1:${ports[2 * i + 1]}"
            PeerSettings(VmId("vm-$i"), DataCentreId("dc"), RegionId("r"), address, peer, voter = true)
        }
        peers.forEach { startVm(it) }
    }

    @AfterTest
    fun close() {
        vms.values.forEach { it.close() }
        base.toFile().deleteRecursively()
    }

    private fun startVm(vm: PeerSettings) {
        val folder = base.resolve(vm.vm.value).toString()
        val settings =
            Settings(vm.vm, vm.dataCentre, vm.region, vm.http, vm.peer, folder, voter = true, peers = peers - vm)
        vms[vm.http] = EntryVm(settings).also { runBlocking { it.start() } }
    }

    private fun stopVm(vm: PeerSettings) = vms.remove(vm.http)?.abort()

    private fun get(vm: Int, path: String) = http.get("http://${peers[vm].http}$path").aggregate().join()

    private fun post(vm: Int, path: String, body: String): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(HttpMethod.POST, "http://${peers[vm].http}$path")
            .contentType(MediaType.JSON)
            .build()
        return http.execute(HttpRequest.of(headers, HttpData.ofUtf8(body))).aggregate().join()
    }

    private fun rank(name: String, schema: Int = 1, expected: Int = 0, body: String = "order: 0") =
        """{"kind":"rank","name":"$name","schema":$schema,"expected_version":$expected,"body":"$body"}"""

    private fun submission(key: String, vararg records: String) =
        """{"operation_key":"$key","records":[${records.joinToString(",")}]}"""

    private fun AggregatedHttpResponse.json() = Json.parseToJsonElement(contentUtf8()).jsonObject

    private fun AggregatedHttpResponse.revision() = json().getValue("revision").jsonPrimitive.int

    private fun AggregatedHttpResponse.findingFields() = json().getValue("findings").jsonArray.map {
        it.jsonObject.getValue("place").jsonObject.getValue("field").jsonPrimitive.content
    }

    private fun awaitRevision(vm: Int, revision: Int) {
        repeat(ATTEMPTS) {
            if (get(vm, "/v1/records").revision() == revision) return
            Thread.sleep(POLL_MS)
        }
        error("vm-$vm did not reach revision $revision.")
    }

    @Nested
    inner class Submission {
        @Test
        fun `is accepted through any VM, becomes active on all and gets the same reply when retried`() {
            val first =
                post(1, "/v1/records", submission("k1", rank("urgent"), rank("future", schema = 9, body = "a: 1")))
            assertEquals(200, first.status().code(), first.contentUtf8())
            repeat(3) { awaitRevision(it, 1) }
            val again =
                post(2, "/v1/records", submission("k1", rank("urgent"), rank("future", schema = 9, body = "a: 1")))
            assertEquals(first.contentUtf8(), again.contentUtf8())
            val shown = get(0, "/v1/records?kind=rank&name=future").json().getValue("records").jsonArray.single()
            assertEquals("a: 1", shown.jsonObject.getValue("body").jsonPrimitive.content)
            val changes = get(2, "/v1/history?limit=5").json().getValue("changes").jsonArray
            assertEquals("k1", changes.single().jsonObject.getValue("operation_key").jsonPrimitive.content)
        }

        @Test
        fun `gets all findings together with their fields`() {
            val answer =
                post(
                    0,
                    "/v1/records",
                    submission("k1", rank("a", body = "order: x\\ncolour: 1"), rank("b", expected = 3)),
                )
            assertEquals(422, answer.status().code())
            val expected = listOf("records[0].body.order", "records[0].body.colour", "records[1].expected_version")
            assertEquals(expected, answer.findingFields())
            assertEquals(400, post(0, "/v1/records", "{").status().code())
        }

        @Test
        fun `is refused if another submission has replaced the version it expects`() {
            assertEquals(200, post(0, "/v1/records", submission("k1", rank("a"))).status().code())
            val outdated = post(1, "/v1/records", submission("k2", rank("a", body = "order: 1")))
            assertEquals(422, outdated.status().code())
            assertEquals(listOf("records[0].expected_version"), outdated.findingFields())
        }

        @Test
        fun `is not applied in a dry run`() {
            assertEquals(200, post(0, "/v1/records?dry_run=true", submission("k1", rank("a"))).status().code())
            assertEquals(0, get(0, "/v1/records").revision())
        }

        @Test
        fun `is refused without a majority, and the accepted records stay active`() {
            post(0, "/v1/records", submission("k1", rank("a")))
            awaitRevision(0, 1)
            stopVm(peers[1])
            stopVm(peers[2])
            val answer = post(0, "/v1/records", submission("k2", rank("b")))
            assertTrue(answer.status().code() in listOf(503, 504), answer.contentUtf8())
            val second = post(0, "/v1/records", submission("k3", rank("c")))
            assertEquals(503, second.status().code())
            assertEquals("not-run", second.json().getValue("outcome").jsonPrimitive.content)
            assertEquals(1, get(0, "/v1/records").revision())
        }
    }

    @Nested
    inner class Voters {
        @Test
        fun `are listed, and a change that names no known VM is refused`() {
            awaitRevision(0, 0)
            assertEquals(200, post(0, "/v1/records", submission("k1", rank("a"))).status().code())
            assertEquals(3, get(0, "/v1/voters").json().getValue("voters").jsonArray.size)
            assertEquals(400, post(0, "/v1/voters", "{}").status().code())
            assertEquals(503, post(0, "/v1/voters", """{"add":"nobody"}""").status().code())
        }
    }

    private companion object {
        const val ATTEMPTS = 300
        const val POLL_MS = 50L
    }
}
