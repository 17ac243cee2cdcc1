package gentiandale.standin.fault

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.standin.StandinJson
import gentiandale.standin.json

/** Replaces the [FaultPlan] of a stand-in on `POST /standin/faults`. */
internal class FaultService(private val faults: FaultInjector) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(req.aggregate().thenApply { replace(it.contentUtf8()) })

    private fun replace(body: String): HttpResponse = try {
        faults.plan = StandinJson.decodeFromString(FaultPlan.serializer(), body)
        json(FaultPlan.serializer(), faults.plan)
    } catch (e: IllegalArgumentException) {
        HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, e.message.orEmpty())
    }
}
