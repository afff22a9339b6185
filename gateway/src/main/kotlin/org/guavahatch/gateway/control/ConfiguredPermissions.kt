package org.guavahatch.gateway.control

import io.netty.handler.codec.http.HttpHeaderNames
import org.guavahatch.gateway.request.RequestPermissions
import org.guavahatch.gateway.request.RequestPlan

/**
 * Permissions of the configuration in force in [state].
 *
 * A request may wait for seconds, also because the process or its instance is paused, so its key is checked again
 * before the request is sent. One whose route has become at-most-once is not repeated any more; one whose route is gone
 * ends as it began.
 *
 * @property keyHeader name of the header that contains the key
 */
class ConfiguredPermissions(private val state: GatewayState, private val keyHeader: String) : RequestPermissions {
    override fun isKeyAccepted(plan: RequestPlan): Boolean =
        plan.account == null || state.freshness.allowsKeyedRequests() && !isKeyWithdrawn(plan)

    override fun isKeyWithdrawn(plan: RequestPlan): Boolean {
        val account = plan.account ?: return false
        val configuration = state.configuration ?: return false
        if (configuration.version == plan.configurationVersion) return false
        return plan.request.headers.get(keyHeader)?.let(configuration::findAccount)?.name != account.name
    }

    override fun isRepeatAllowed(plan: RequestPlan): Boolean {
        val configuration = state.configuration ?: return true
        if (configuration.version == plan.configurationVersion) return true
        val host = plan.request.headers.get(HttpHeaderNames.HOST).orEmpty()
        return configuration.findRoute(host, plan.request.target)?.isRepeatable ?: true
    }
}
