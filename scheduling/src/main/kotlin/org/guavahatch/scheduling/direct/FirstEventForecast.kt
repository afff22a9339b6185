package org.guavahatch.scheduling.direct

/**
 * Predicts the time from the send of a request to its first event, from recent requests of the pool.
 *
 * A request that is sent later than this before its latency objective misses it and takes the slot from one that could
 * still meet its own. At peak load, when most requests wait about as long as their objective allows, that decides how
 * many of them are on time.
 */
public class FirstEventForecast {
    private val millisecondsPerToken = RecentQuantile(QUANTILE)

    /** Records a first event [milliseconds] after the send of a request with [promptTokens]. */
    public fun record(promptTokens: Long, milliseconds: Long) {
        if (promptTokens > 0) millisecondsPerToken.add(milliseconds.toDouble() / (promptTokens + OVERHEAD_TOKENS))
    }

    /**
     * Expected milliseconds for a request with [promptTokens], or with none for an application; at most half of
     * [objectiveMilliseconds], so that a long prompt is not late from the beginning.
     */
    public fun expected(promptTokens: Long, objectiveMilliseconds: Long): Long {
        val perToken = millisecondsPerToken.value.takeIf { promptTokens > 0 }
        val expected = perToken?.let { (it * (promptTokens + OVERHEAD_TOKENS)).toLong() } ?: DEFAULT_MILLISECONDS
        return minOf(expected, objectiveMilliseconds / 2)
    }

    private companion object {
        /** High enough that most of the requests sent at the last moment are on time. */
        const val QUANTILE = 0.75

        /** Fixed work of a first token in prompt tokens: about 36 ms at an engine that prefills 40 tokens in 1 ms. */
        const val OVERHEAD_TOKENS = 1_500L

        /** Connecting and one step of an engine, or a short run of an application. */
        const val DEFAULT_MILLISECONDS = 100L
    }
}
