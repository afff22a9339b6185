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
 * A caller's request that was validated against the configuration.
 *
 * @property version version of the configuration that the request was validated against
 * @property prompt text of the prompt, empty for applications
 * @property maximumTokens maximum number of output tokens, 0 for applications
 * @property isStream whether the caller requested an event stream
 * @property deadlineMilliseconds maximum duration of the request, from its acceptance
 */
internal class ValidatedRequest(
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
     * The dispatch rule of the route. Only event streams can be resumed; another answer is buffered until it is
     * complete, so the request can be repeated instead.
     */
    val dispatch: DispatchRule
        get() = if (route.dispatch == DispatchRule.RESUMABLE && !isStream) DispatchRule.REPEATABLE else route.dispatch
}
