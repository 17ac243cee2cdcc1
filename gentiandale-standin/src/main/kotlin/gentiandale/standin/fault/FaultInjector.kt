package gentiandale.standin.fault

import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/** Decides which faults to inject into a request. Decisions are deterministic for a given plan and subject. */
internal class FaultInjector(plan: FaultPlan) {
    private val current = AtomicReference(plan)

    /** Current plan; can be replaced at run time. */
    var plan: FaultPlan
        get() = current.get()
        set(value) = current.set(value)

    /** Returns whether to inject [fault] into [subject], for example an attempt of a request. */
    fun shouldInject(fault: Fault, subject: String): Boolean {
        val probability = plan.probabilities[fault] ?: return false
        return random(fault, subject).nextDouble() < probability
    }

    /** Returns the index in `0 until count` at which to inject [fault] into [subject]; null for no fault. */
    fun injectionIndex(fault: Fault, subject: String, count: Int): Int? {
        if (count <= 0 || !shouldInject(fault, subject)) return null
        return random(fault, "$subject at").nextInt(count)
    }

    private fun random(fault: Fault, subject: String) = Random(plan.seed * SEED_FACTOR + "$fault $subject".hashCode())

    private companion object {
        const val SEED_FACTOR = 1_000_003L
    }
}
