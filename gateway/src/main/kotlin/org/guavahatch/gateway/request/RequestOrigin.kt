package org.guavahatch.gateway.request

import org.guavahatch.gateway.observation.AccountCounters
import org.guavahatch.gateway.observation.GatewayMetrics
import org.guavahatch.gateway.observation.LogLine
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.forwarding.ForwardingRoute

/**
 * Account and route that a request is attributed to in the log and the metrics.
 *
 * @property account the caller's account, or null if it has none or its key is unknown
 * @property route the route it matched, or null if it matched none
 */
internal class RequestOrigin(val account: ForwardingAccount?, val route: ForwardingRoute?) {
    /** The counters of the account and the route in [metrics]. */
    fun counters(metrics: GatewayMetrics): AccountCounters = metrics.accounts.of(account?.name, route?.name)
}

/** The account and the route of the request of this plan. */
internal val RequestPlan.origin: RequestOrigin get() = RequestOrigin(account, route)

/** Adds account, ranks and the [zone] of the gateway; what is unknown is left out. */
internal fun LogLine.putOrigin(origin: RequestOrigin, zone: String) {
    origin.account?.let { put("account", it.name) }
    origin.route?.let { route ->
        put("rank", origin.account?.rank ?: route.rank)
        put("route-rank", route.rank)
    }
    put("zone", zone)
}
