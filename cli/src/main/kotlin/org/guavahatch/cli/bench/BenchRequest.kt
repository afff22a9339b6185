package org.guavahatch.cli.bench

/**
 * A request of the bench and what became of it.
 *
 * @property number position among all requests
 * @property arrivalMilliseconds when it came
 * @property rank rank of its tier
 * @property account name of its account
 * @property route name of its route
 * @property promptTokens length of the prompt
 * @property prefixGroup group of requests that share the start of the prompt, or null
 * @property prefixTokens length of the shared start
 * @property outputTokens length of the answer, which no policy but the clairvoyant one knows
 * @property maximumTokens longest answer that the caller allows
 * @property deadlineMilliseconds time at which the answer becomes worthless
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
    var doneMilliseconds: Double? = null
    var shedMilliseconds: Double? = null
    var firstStartMilliseconds: Double? = null
    val tokenGapsMilliseconds = ArrayList<Float>()

    /** Prompt tokens that engines computed for it, all attempts together. */
    var prefilledTokens = 0L

    /** Prompt tokens that were computed again although some engine had computed them for this request before. */
    var repeatedPrefillTokens = 0L

    val isGood: Boolean get() = doneMilliseconds.let { it != null && it <= deadlineMilliseconds }
}
