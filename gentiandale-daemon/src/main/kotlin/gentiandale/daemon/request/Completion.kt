package gentiandale.daemon.request

import gentiandale.route.RouteRequest

/**
 * A completion that a caller asks for, as passed from the entry VM to the owner that runs it: its [route], which the
 * routing policy sees, and its [prompt].
 *
 * @param priority scheduling priority at the engines; 0 is the most urgent.
 * @param firstIndex index of the first token that has not been delivered to the caller.
 * @param attemptBase see [RequestLifecycle.attemptBase].
 */
internal data class Completion(
    val route: RouteRequest,
    val prompt: String,
    val priority: Int = 0,
    val firstIndex: Int = 0,
    val attemptBase: Int = 0,
)
