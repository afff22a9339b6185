package org.guavahatch.scheduling.direct

/** Predicts the time from the send of a request to the end of its answer, from recent requests of the same route. */
public class CompletionForecast {
    private val routes = LinkedHashMap<String, RecentQuantile>(INITIAL_ROUTES, LOAD_FACTOR, true)

    /** Records that a request of [route] for at most [outputTokens] was answered [milliseconds] after its send. */
    public fun record(route: String, outputTokens: Long, milliseconds: Long) {
        val perToken = routes.getOrPut(route) { RecentQuantile(QUANTILE) }
        perToken.add(milliseconds.toDouble() / (outputTokens + OVERHEAD_TOKENS))
        while (routes.size > MAXIMUM_ROUTES) routes.remove(routes.keys.first())
    }

    /** Expected milliseconds for a request of [route] for at most [outputTokens], or null before the first answer. */
    public fun expected(route: String, outputTokens: Long): Long? =
        routes[route]?.value?.let { (it * (outputTokens + OVERHEAD_TOKENS)).toLong() }

    private companion object {
        /** Nearly all requests of a route take no longer. */
        const val QUANTILE = 0.95

        /** The part of an answer's time that does not depend on its length, in output tokens. */
        const val OVERHEAD_TOKENS = 100L

        /** Bounds the memory when configurations replace their routes; the least recently used are forgotten. */
        const val MAXIMUM_ROUTES = 1_000
        const val INITIAL_ROUTES = 16
        const val LOAD_FACTOR = 0.75f
    }
}
