package org.guavahatch.scheduling.queue

import org.guavahatch.model.identity.RequestId

/**
 * A request as a queue sees it.
 *
 * @property requestId the request
 * @property rank rank of its tier, 0 is the highest
 * @property account name of its client account
 * @property share weight of the account within its tier, at least 1
 * @property cost estimated cost, above 0
 * @property deadlineMilliseconds monotonic time at which its answer becomes worthless
 */
public data class QueuedRequest(
    public val requestId: RequestId,
    public val rank: Int,
    public val account: String,
    public val share: Int,
    public val cost: Double,
    public val deadlineMilliseconds: Long,
)
