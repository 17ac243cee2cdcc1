package gentiandale.cluster.order

import gentiandale.core.AdapterId
import gentiandale.core.ModelId
import gentiandale.core.ServerId
import gentiandale.core.ServerKind

/**
 * Order that changes the role, model or adapters of a server as the pool records require.
 *
 * @param loadBytes bytes that the server has to read from the weight store; 0 if it has the weights already.
 * @param reason explanation for the log.
 */
public data class PlannedOrder(
    val server: ServerId,
    val kind: ServerKind,
    val model: ModelId,
    val version: String,
    val adapters: Set<AdapterId>,
    val loadBytes: Long,
    val reason: String,
)
