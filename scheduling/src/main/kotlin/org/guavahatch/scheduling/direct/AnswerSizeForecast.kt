package org.guavahatch.scheduling.direct

/** Predicts the bytes of an answer from recent answers of the same route. */
public class AnswerSizeForecast {
    private val perToken = RouteQuantiles(MEDIAN)

    /** Records that the answer to a request of [route] for [outputTokens], 0 for applications, had [bytes]. */
    public fun record(route: String, outputTokens: Long, bytes: Long): Unit =
        perToken.record(route, bytes.toDouble() / (outputTokens + OVERHEAD_TOKENS))

    /** Expected bytes of the answer to a request of [route] for [outputTokens]; 0 before the first answer. */
    public fun expected(route: String, outputTokens: Long): Long =
        perToken.value(route)?.let { (it * (outputTokens + OVERHEAD_TOKENS)).toLong() } ?: 0

    private companion object {
        const val MEDIAN = 0.5

        /** The part of an answer that does not depend on its length, in output tokens. */
        const val OVERHEAD_TOKENS = 1L
    }
}
