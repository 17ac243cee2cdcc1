package gentiandale.daemon.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.daemon.metrics.VmMetrics

/** Exposes the metrics to Prometheus at `GET /metrics`. */
internal class MetricsService(private val metrics: VmMetrics) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.parse(metrics.contentType), HttpData.wrap(metrics.render()))
}
