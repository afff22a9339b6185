package org.guavahatch.scheduling.estimate

/**
 * Estimates the output length of a request as the exponentially weighted mean of earlier requests of the same account
 * on the same route. An account without history uses the mean of the route.
 *
 * @property initialTokens estimate for a route without history, default 128
 * @property weight weight of a new observation, above 0 and at most 1, default 0.1
 * @property maximumEntries maximum number of means that are kept, of routes and of pairs of route and account, default
 * 10 000; further accounts use the mean of the route, and further routes [initialTokens]
 */
public class LengthEstimator(
    private val initialTokens: Int = DEFAULT_INITIAL_TOKENS,
    private val weight: Double = DEFAULT_WEIGHT,
    private val maximumEntries: Int = DEFAULT_MAXIMUM_ENTRIES,
) {
    private data class Key(val route: String, val account: String?)

    private val means = HashMap<Key, Double>()

    /** Expected number of output tokens, at least 1 and at most [limit]. */
    public fun estimate(route: String, account: String, limit: Int): Int {
        val mean = means[Key(route, account)] ?: means[Key(route, null)] ?: initialTokens.toDouble()
        return mean.toInt().coerceIn(1, maxOf(1, limit))
    }

    /** Updates the means with a request that had [tokens] output tokens. */
    public fun observe(route: String, account: String, tokens: Int) {
        update(Key(route, null), tokens)
        update(Key(route, account), tokens)
    }

    private fun update(key: Key, tokens: Int) {
        val mean = means[key]
        if (mean == null && means.size >= maximumEntries) return
        means[key] = if (mean == null) tokens.toDouble() else mean + weight * (tokens - mean)
    }

    private companion object {
        const val DEFAULT_INITIAL_TOKENS = 128
        const val DEFAULT_WEIGHT = 0.1
        const val DEFAULT_MAXIMUM_ENTRIES = 10_000
    }
}
