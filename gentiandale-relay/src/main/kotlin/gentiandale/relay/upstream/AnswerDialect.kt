package gentiandale.relay.upstream

import io.netty.handler.codec.http.HttpHeaders

/** What the head of a server's answer says about the answer and the server. */
public interface AnswerDialect {
    /** Returns whether a server states that it has not executed the request. */
    public fun isNotExecuted(status: Int, headers: HttpHeaders): Boolean

    /** States that the request has not been executed. */
    public fun stateNotExecuted(headers: HttpHeaders)

    /** Repeats the id of the request that is answered. */
    public fun setRequestId(headers: HttpHeaders, id: String)

    /** Returns whether a server says in its answer that it leaves and must get no new requests. */
    public fun isLeaving(headers: HttpHeaders): Boolean

    /** Returns what a server says in its answer about the requests that it takes from all VMs together, or null. */
    public fun requestLimit(headers: HttpHeaders): String?

    /** Returns whether an answer carries the signature of a server. */
    public fun isSigned(headers: HttpHeaders): Boolean
}
