package org.guavahatch.scheduling.direct

/** Predicts the time from the send of a request to the end of its answer, from recent requests of the same route. */
public class CompletionForecast {
    private val perToken = RouteQuantiles(QUANTILE)

    /** Records that a request of [route] for at most [outputTokens] was answered [milliseconds] after its send. */
    public fun record(route: String, outputTokens: Long, milliseconds: Long): Unit =
        perToken.record(route, milliseconds.toDouble() / (outputTokens + OVERHEAD_TOKENS))

    /** Expected milliseconds for a request of [route] for at most [outputTokens], or null before the first answer. */
    public fun expected(route: String, outputTokens: Long): Long? =
        perToken.value(route)?.let { (it * (outputTokens + OVERHEAD_TOKENS)).toLong() }

    private companion object {
        /** Nearly all requests of a route take no longer. */
        const val QUANTILE = 0.95

        /** The part of an answer's time that does not depend on its length, in output tokens. */
        const val OVERHEAD_TOKENS = 100L
    }
}
