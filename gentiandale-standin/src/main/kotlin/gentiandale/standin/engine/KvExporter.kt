package gentiandale.standin.engine

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import gentiandale.core.engine.EnginePaths
import gentiandale.standin.json
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.Serializable

/** Response to the export of a KV cache. It carries no cache data: the export only takes the time of a transfer. */
@Serializable
internal data class KvExport(val handle: String, val bytes: Long)

/** Exports KV caches one at a time over a simulated link with a bandwidth of [bytesPerSecond]. */
internal class KvExporter(private val store: KvStore, private val bytesPerSecond: Double) {
    private val linkMutex = Mutex()

    /** Answers `GET /engine/kv/{handle}` with 200 after the transfer time, or with 410 if [store] lacks it. */
    suspend fun export(handle: String): HttpResponse {
        val entry = store.take(handle) ?: return HttpResponse.of(HttpStatus.GONE)
        linkMutex.withLock { delay((entry.bytes * MS_PER_SECOND / bytesPerSecond).toLong()) }
        return json(KvExport.serializer(), KvExport(handle, entry.bytes))
    }

    private companion object {
        const val MS_PER_SECOND = 1_000
    }
}

/** Fetches KV caches from prefill engines. */
internal class KvImporter {
    private val client = WebClient.builder().responseTimeoutMillis(0).build()

    /** Fetches the KV cache [handle] from the engine at [source]; returns whether the transfer succeeded. */
    suspend fun fetch(source: String, handle: String): Boolean =
        client.get("http://$source${EnginePaths.KV}/$handle").aggregate().await().status() == HttpStatus.OK
}
