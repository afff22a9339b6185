package org.guavahatch.gateway.control

import io.netty.handler.codec.http.HttpHeaderNames
import org.guavahatch.gateway.request.RepeatableRoutes
import org.guavahatch.gateway.request.RequestPlan

/**
 * Routes of the configuration in force in [state].
 *
 * A request whose route has become at-most-once is not repeated any more; one whose route is gone ends as it began.
 */
class ConfiguredRoutes(private val state: GatewayState) : RepeatableRoutes {
    override fun allowRepeat(plan: RequestPlan): Boolean {
        val configuration = state.configuration ?: return true
        if (configuration.version == plan.configurationVersion) return true
        val host = plan.request.headers.get(HttpHeaderNames.HOST).orEmpty()
        return configuration.findRoute(host, plan.request.target)?.isRepeatable ?: true
    }
}
