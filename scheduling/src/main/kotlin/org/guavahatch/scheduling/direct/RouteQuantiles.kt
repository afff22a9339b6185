package org.guavahatch.scheduling.direct

/** The [quantile] (0 to 1) of recent samples of each route. */
internal class RouteQuantiles(private val quantile: Double) {
    private val routes = LinkedHashMap<String, RecentQuantile>(INITIAL_ROUTES, LOAD_FACTOR, true)

    fun record(route: String, sample: Double) {
        routes.getOrPut(route) { RecentQuantile(quantile) }.add(sample)
        while (routes.size > MAXIMUM_ROUTES) routes.remove(routes.keys.first())
    }

    /** Current quantile of [route], or null before the first sample. */
    fun value(route: String): Double? = routes[route]?.value

    private companion object {
        /** Bounds the memory when configurations replace their routes; the least recently used are forgotten. */
        const val MAXIMUM_ROUTES = 1_000
        const val INITIAL_ROUTES = 16
        const val LOAD_FACTOR = 0.75f
    }
}
