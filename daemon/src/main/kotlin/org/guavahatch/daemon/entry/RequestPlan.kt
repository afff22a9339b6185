package org.guavahatch.daemon.entry

import org.guavahatch.model.configuration.ClientAccount
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.configuration.EndpointPool
import org.guavahatch.model.configuration.IdempotencyKeyRule
import org.guavahatch.model.configuration.Route
import org.guavahatch.model.configuration.Tier
import org.guavahatch.protocol.message.EndpointCall

/**
 * A caller's request after it was checked against the configuration.
 *
 * @property version configuration that it was checked against
 * @property prompt text of the prompt, empty for applications
 * @property maximumTokens output tokens that the caller allows, 0 for applications
 * @property isStream whether the caller wants a stream of events
 * @property deadlineMilliseconds time that the caller allows, from the acceptance on
 */
internal class RequestPlan(
    val version: ConfigurationVersion,
    val account: ClientAccount,
    val route: Route,
    val pool: EndpointPool,
    val tier: Tier,
    val call: EndpointCall,
    val prompt: String,
    val maximumTokens: Int,
    val isStream: Boolean,
    val deadlineMilliseconds: Long,
) {
    val needsClaim: Boolean get() = route.idempotencyKey == IdempotencyKeyRule.REQUIRED

    /**
     * The route's rule; an answer that is no stream cannot be continued, but as it is held until it is whole,
     * repeated.
     */
    val dispatch: DispatchRule
        get() = if (route.dispatch == DispatchRule.RESUMABLE && !isStream) DispatchRule.REPEATABLE else route.dispatch
}
