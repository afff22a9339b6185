package org.guavahatch.scheduling.rollout

import kotlin.random.Random

/**
 * Limits the sends of this gateway to the target version so that all gateways together keep to [limits], even if they
 * do not hear of each other.
 *
 * The share is taken of each route, so that each route is observed. Whole requests are rounded at random with offsets
 * drawn once: with many gateways, rounding down at each of them would leave most of the exposure unused.
 */
internal class ExposureLimit(
    private val limits: RolloutLimits,
    private val random: Random,
    private val isRecentlyStarted: Boolean,
) {
    private val routes = HashMap<String, RouteSends>()
    private val offset = random.nextDouble()
    private var gateways = 0
    private var sends = 0L

    /** Sends to the target version. */
    var targetSends = 0L
        private set

    /** Divides the slack by the largest number of gateways seen, as a gateway that is gone may have used its part. */
    fun updateGateways(registered: Int) {
        gateways = maxOf(gateways, registered)
    }

    fun recordSend(route: String, isTarget: Boolean) {
        val sent = routeSends(route)
        sends++
        sent.sends++
        if (!isTarget) return
        targetSends++
        sent.targetSends++
    }

    /**
     * Whether the share of [route] and of the whole pool allow one more send to the target version. The sends that the
     * pool still allows are kept for the routes that lack most, or frequent routes would take those of rare ones.
     */
    fun allowsTarget(route: String): Boolean {
        // Without sends of the route its rounding offset is not drawn yet, as this must be free of side effects.
        val missing = missing(routes[route] ?: return false)
        if (missing < 1) return false
        val kept = routes.values.count { missing(it) > missing }
        return targetSends + 1 + kept <= share * sends + slackPart + (if (isRecentlyStarted) 0.0 else offset)
    }

    private fun missing(route: RouteSends): Double {
        // A route with little traffic gets more than its share, or the verdict would rest on a few answers of it.
        val equalPart = sends.toDouble() / routes.size
        val counted = maxOf(route.sends.toDouble(), minOf(RARE_ROUTE_FACTOR * route.sends, equalPart))
        return share * counted + slackPart * counted / sends + route.offset - route.targetSends
    }

    private val share get() = limits.exposureShare * USED_SHARE

    private val slackPart: Double
        get() = if (isRecentlyStarted || gateways == 0) 0.0 else limits.exposureSlack * USED_SLACK / gateways

    private fun routeSends(route: String) = routes[route]
        ?: RouteSends(random.nextDouble()).also { if (routes.size < EvidenceLedger.MAXIMUM_ROUTES) routes[route] = it }

    private class RouteSends(val offset: Double) {
        var sends = 0L
        var targetSends = 0L
    }

    private companion object {
        /** The limit is a share of requests, but sends are counted; the rest covers retries. */
        const val USED_SHARE = 0.8

        /** The callers of a route with little traffic meet a bad version at most this often, compared with others. */
        const val RARE_ROUTE_FACTOR = 2.0

        /** The other half of the slack covers the random rounding and requests that are sent when a verdict falls. */
        const val USED_SLACK = 0.5
    }
}
