package gentiandale.standin

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** JSON format of the HTTP interfaces of the stand-ins. */
internal val StandinJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** Encodes [value] as the JSON body of a response with [status]. */
internal fun <T> json(serializer: KSerializer<T>, value: T, status: HttpStatus = HttpStatus.OK): HttpResponse =
    HttpResponse.of(status, MediaType.JSON, StandinJson.encodeToString(serializer, value))
