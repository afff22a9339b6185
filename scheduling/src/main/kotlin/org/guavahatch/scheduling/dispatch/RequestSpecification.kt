package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.RequestId

/**
 * A request as an entry instance accepted it.
 *
 * @property requestId identifier of the request
 * @property pool name of the endpoint pool
 * @property route name of the route
 * @property account name of the client account
 * @property share weight of the account in fair queueing within its tier
 * @property rank rank of the tier, 0 is the highest
 * @property dispatch rule that says whether the request may be dispatched more than once
 * @property needsClaim whether the request may be granted only after its idempotency key was claimed
 * @property cost estimated cost, in the unit of [org.guavahatch.scheduling.estimate.CostModel]
 * @property promptCost part of the cost that the prompt accounts for
 * @property tokens estimated tokens of prompt and output
 * @property prefixBlocks hashes of the prompt's prefixes, see `PrefixIndex`
 * @property deadlineMilliseconds deadline for the answer, in monotonic time
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
