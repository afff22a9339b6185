package org.guavahatch.cli.bench

/**
 * Simulated request with its recorded progress. All times are virtual.
 *
 * @property number index in order of arrival
 * @property arrivalMilliseconds time of arrival
 * @property rank rank of the tier, 0 for the highest
 * @property account name of the client account
 * @property route name of the route
 * @property promptTokens length of the prompt, including the shared prefix
 * @property prefixGroup group of requests with the same prompt prefix, or null
 * @property prefixTokens length of the shared prefix
 * @property outputTokens length of the answer, which only the clairvoyant policy may use for decisions
 * @property maximumTokens output limit set by the caller
 * @property deadlineMilliseconds time after which the answer no longer counts
 */
internal class BenchRequest(
    val number: Int,
    val arrivalMilliseconds: Double,
    val rank: Int,
    val account: String,
    val route: String,
    val promptTokens: Int,
    val prefixGroup: Int?,
    val prefixTokens: Int,
    val outputTokens: Int,
    val maximumTokens: Int,
    val deadlineMilliseconds: Double,
) {
    var firstTokenMilliseconds: Double? = null
    var lastTokenMilliseconds: Double? = null
    var completedMilliseconds: Double? = null
    var shedMilliseconds: Double? = null
    var firstStartMilliseconds: Double? = null
    val tokenGapsMilliseconds = ArrayList<Float>()

    /** Tokens prefilled for this request, in all attempts. */
    var prefilledTokens = 0L

    /** Prompt tokens of the repeated attempts, which an engine had already prefilled for this request. */
    var repeatedPrefillTokens = 0L

    /** Whether the complete answer arrived by the deadline. */
    val isGood: Boolean get() = completedMilliseconds.let { it != null && it <= deadlineMilliseconds }
}
