package org.guavahatch.gateway.request

import org.guavahatch.gateway.caller.CallerRequest
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.LogLine
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.forwarding.ForwardingRoute
import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * An accepted request and what was decided about it.
 *
 * @property id identity of the caller's attempt
 * @property request what the caller sent
 * @property route the route it matched
 * @property pool the pool that serves it
 * @property account the caller's account, or null if the route needs none
 * @property units units that it was charged to the account
 * @property waiting what decisions need to know of it
 * @property configurationVersion version of the configuration that decided
 */
class RequestPlan(
    val id: String,
    val request: CallerRequest,
    val route: ForwardingRoute,
    val pool: String,
    val account: ForwardingAccount?,
    val units: Long,
    val waiting: WaitingRequest,
    val configurationVersion: Long,
)

/** Writes one line about [event] in the life of the request of [plan]. */
internal fun DecisionLog.write(event: String, plan: RequestPlan, fields: LogLine.() -> Unit) = write(event) {
    put("request", plan.id)
    put("route", plan.route.name)
    fields()
}

/** Adds the size of a request: tokens to read, tokens to generate at most, and the caller's estimate of those. */
internal fun LogLine.putTokens(prompt: Long, output: Long, estimated: Long?) {
    put("prompt-tokens", prompt)
    put("output-tokens", output)
    estimated?.let { put("estimated-tokens", it) }
}

/** Adds the size of the request of [plan]. */
internal fun LogLine.putTokens(plan: RequestPlan) =
    plan.waiting.run { if (promptTokens > 0) putTokens(promptTokens, outputTokens, estimatedTokens) }
