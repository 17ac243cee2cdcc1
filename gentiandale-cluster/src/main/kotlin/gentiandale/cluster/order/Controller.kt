package gentiandale.cluster.order

import gentiandale.core.Blackboard
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Works in rounds: observes the blackboard, decides, acts. After a restart it needs nothing but the blackboard. */
public interface Controller<View> {
    /** Reads the state that the next round needs. */
    public fun observe(board: Blackboard): View

    /** Decides on [view] and carries out the decisions. */
    public suspend fun round(view: View)
}

/** Launches a coroutine that runs a round of [controller], then waits [periodMs] milliseconds, until cancelled. */
public fun <View> CoroutineScope.runController(controller: Controller<View>, board: Blackboard, periodMs: Long) {
    launch {
        while (isActive) {
            controller.round(controller.observe(board))
            delay(periodMs)
        }
    }
}
