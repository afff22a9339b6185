package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.RequestId

/**
 * A request as an entry instance accepted it.
 *
 * @property requestId the request
 * @property pool name of the endpoint pool
 * @property route name of the route
 * @property account name of the client account
 * @property share weight of the account
 * @property rank rank of the tier
 * @property dispatch how often it may be dispatched
 * @property needsClaim whether it may be granted only after its idempotency key was claimed
 * @property cost estimated cost
 * @property promptCost part of the cost that is for the prompt
 * @property tokens estimated tokens of prompt and output
 * @property prefixBlocks hashes of the prompt's prefixes, see `PrefixIndex`
 * @property deadlineMilliseconds monotonic time at which its answer becomes worthless
 */
public data class RequestSpecification(
    public val requestId: RequestId,
    public val pool: String,
    public val route: String,
    public val account: String,
    public val share: Int,
    public val rank: Int,
    public val dispatch: DispatchRule,
    public val needsClaim: Boolean,
    public val cost: Double,
    public val promptCost: Double,
    public val tokens: Long,
    public val prefixBlocks: List<Long>,
    public val deadlineMilliseconds: Long,
)
