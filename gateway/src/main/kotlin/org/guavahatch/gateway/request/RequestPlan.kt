package org.guavahatch.gateway.request

import org.guavahatch.gateway.caller.CallerRequest
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.LogLine
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.forwarding.ForwardingRoute
import org.guavahatch.scheduling.direct.WaitingRequest
import org.guavahatch.scheduling.quarantine.PromptParts

/**
 * An accepted request with its route, pool and quota charge.
 *
 * @property id id of the caller's attempt
 * @property request the request as received
 * @property route the route it matched
 * @property pool name of the endpoint pool that serves it
 * @property account the caller's account, or null if the route needs none
 * @property units units charged to the account
 * @property parts parts of its prompt
 * @property waiting its entry in the waiting queue
 * @property configurationVersion version of the configuration that it was planned with
 */
class RequestPlan(
    val id: String,
    val request: CallerRequest,
    val route: ForwardingRoute,
    val pool: String,
    val account: ForwardingAccount?,
    val units: Long,
    val parts: PromptParts,
    val waiting: WaitingRequest,
    val configurationVersion: Long,
)

/** Writes a log line about [event] for the request of [plan]. */
internal fun DecisionLog.write(event: String, plan: RequestPlan, fields: LogLine.() -> Unit) = write(event) {
    put("request", plan.id)
    put("route", plan.route.name)
    fields()
}

/** Adds the size of a request: prompt tokens, maximum output tokens and the caller's estimate of the output tokens. */
internal fun LogLine.putTokens(prompt: Long, output: Long, estimated: Long?) {
    put("prompt-tokens", prompt)
    put("output-tokens", output)
    estimated?.let { put("estimated-tokens", it) }
}

/** Adds the size of the request of [plan]. */
internal fun LogLine.putTokens(plan: RequestPlan) =
    plan.waiting.run { if (promptTokens > 0) putTokens(promptTokens, outputTokens, estimatedTokens) }
