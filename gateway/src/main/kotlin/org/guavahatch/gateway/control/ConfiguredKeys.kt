package org.guavahatch.gateway.control

import org.guavahatch.gateway.request.AcceptedKeys
import org.guavahatch.gateway.request.RequestPlan

/**
 * Keys of the configuration in force in [state].
 *
 * A request may wait for seconds, also because the process or its instance is paused, so its key is checked again
 * before the request is sent.
 *
 * @property keyHeader name of the header that contains the key
 */
class ConfiguredKeys(private val state: GatewayState, private val keyHeader: String) : AcceptedKeys {
    override fun isAccepted(plan: RequestPlan): Boolean =
        plan.account == null || state.freshness.allowsKeyedRequests() && !isWithdrawn(plan)

    override fun isWithdrawn(plan: RequestPlan): Boolean {
        val account = plan.account ?: return false
        val configuration = state.configuration ?: return false
        if (configuration.version == plan.configurationVersion) return false
        return plan.request.headers.get(keyHeader)?.let(configuration::findAccount)?.name != account.name
    }
}
