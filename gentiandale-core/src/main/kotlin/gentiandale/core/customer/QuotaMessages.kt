package gentiandale.core.customer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Usage of one customer at an entry VM.
 *
 * @param used cost of all requests that ran there since the start of the process.
 * @param recent part of it that no issuer has confirmed so far, without what was admitted in fallback.
 */
@Serializable
public data class QuotaUse(
    @SerialName("c") val customer: CustomerName,
    @SerialName("u") val used: Long,
    @SerialName("r") val recent: Long,
)

/** Question whether a request of [customer] with this [cost] may run; [number] identifies it in its process. */
@Serializable
public data class QuotaQuestion(
    @SerialName("n") val number: Long,
    @SerialName("c") val customer: CustomerName,
    @SerialName("q") val cost: Long,
)

/**
 * Report of an entry VM to the issuer. All values are absolute, so that lost, repeated and reordered reports do no
 * harm.
 *
 * @param process random number of the process, from whose start the counters run.
 * @param number number of the report; a report with a lower number than one that has arrived is outdated.
 * @param settled questions with a lower number are closed: what they have granted is part of the usage, or was not
 *   used.
 * @param uses usage that the issuer has not confirmed.
 * @param modes digest of the strict customers that the sender knows; see [QuotaAnswer.digest].
 * @param wantsAnswer whether the issuer is to answer also without a question.
 */
@Serializable
public data class QuotaReport(
    @SerialName("p") val process: Int,
    @SerialName("n") val number: Long,
    @SerialName("s") val settled: Long,
    @SerialName("u") val uses: List<QuotaUse> = emptyList(),
    @SerialName("q") val questions: List<QuotaQuestion> = emptyList(),
    @SerialName("m") val modes: Int = 0,
    @SerialName("a") val wantsAnswer: Boolean = false,
)

/**
 * Answer to the [QuotaQuestion] with the same number.
 *
 * @param waitMs time in milliseconds until the request would be admitted; 0 if it is.
 * @param closedMs time in milliseconds until the balance of the customer is positive; 0 if it is.
 * @param isKnown whether the issuer knows the customer; if not, the entry VM decides.
 */
@Serializable
public data class QuotaVerdict(
    @SerialName("n") val number: Long,
    @SerialName("w") val waitMs: Long = 0,
    @SerialName("c") val closedMs: Long = 0,
    @SerialName("k") val isKnown: Boolean = true,
) {
    /** Whether the request may run. */
    val isGranted: Boolean get() = isKnown && waitMs == 0L
}

/**
 * Message of the issuer to an entry VM.
 *
 * @param process process of the entry VM for which [heard] and [verdicts] are; 0 if the issuer knows none.
 * @param heard highest number of a [QuotaReport] that has arrived.
 * @param verdicts answers to questions.
 * @param strict customers whose requests are all asked for; null if the entry VM knows them.
 * @param isIssuing whether the sender issues at all.
 */
@Serializable
public data class QuotaAnswer(
    @SerialName("p") val process: Int = 0,
    @SerialName("h") val heard: Long = 0,
    @SerialName("v") val verdicts: List<QuotaVerdict> = emptyList(),
    @SerialName("s") val strict: List<CustomerName>? = null,
    @SerialName("i") val isIssuing: Boolean = true,
) {
    /** Digests of modes. */
    public companion object {
        /** Returns a digest of the [strict] customers, by which an issuer sees whether an entry VM knows them. */
        public fun digest(strict: Collection<CustomerName>): Int = strict.map { it.value }.sorted().hashCode()
    }
}

/** Balance of [customer] at the issuer, rounded down. */
@Serializable
public data class QuotaLevel(
    @SerialName("c") val customer: CustomerName,
    @SerialName("l") val level: Long,
)
