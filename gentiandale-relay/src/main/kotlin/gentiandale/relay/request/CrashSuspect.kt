package gentiandale.relay.request

import gentiandale.core.backend.QuarantineVerdict
import gentiandale.core.backend.RequestTrait
import gentiandale.relay.backend.Backend

/**
 * A request as the possible cause of server crashes, by its own fingerprint and the [parts] of its prompt. Its traits
 * are computed only where a crash is known. What happens at another entry VM says nothing about its servers.
 */
internal class CrashSuspect(
    private val routed: RoutedRequest,
    val parts: List<RequestTrait>,
    private val quarantine: RequestQuarantine,
) {
    private val fingerprint by lazy { RequestFingerprint.of(routed.request) }
    private val traits by lazy { parts + RequestTrait.ofRequest(fingerprint.value) }

    private var isTrial = false

    /** Decides whether the request may be sent to a server now; the first send of a trial announces it. */
    fun verdict(): QuarantineVerdict {
        if (isTrial || quarantine.isEmpty) return QuarantineVerdict.Admit
        val verdict = quarantine.verdict(traits)
        if (verdict is QuarantineVerdict.Trial) {
            isTrial = true
            quarantine.onTrial(routed.id, verdict.trait)
        }
        return verdict
    }

    /** Checks whether [server], which has broken the connection of the request without an answer, has crashed. */
    fun onBroken(server: Backend) {
        if (server.isPeer) return
        isTrial = false
        quarantine.onBroken(routed.id, fingerprint, server, traits)
    }

    /** Records that [server] has shown that it can answer the request. */
    fun onAnswered(server: Backend) {
        if (!server.isPeer && !quarantine.isEmpty) quarantine.onEstablished(routed.id, server, traits)
    }
}
