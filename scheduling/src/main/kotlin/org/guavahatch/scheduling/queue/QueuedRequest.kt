package org.guavahatch.scheduling.queue

import org.guavahatch.model.identity.RequestId

/**
 * The properties of a request that determine its place in a [TieredQueue].
 *
 * @property requestId identifier of the request
 * @property rank rank of its tier, 0 is the highest
 * @property account name of its client account
 * @property share weight of the account within its tier, at least 1
 * @property cost estimated cost, above 0
 * @property deadlineMilliseconds deadline for the answer, in monotonic time
 */
public data class QueuedRequest(
    public val requestId: RequestId,
    public val rank: Int,
    public val account: String,
    public val share: Int,
    public val cost: Double,
    public val deadlineMilliseconds: Long,
)
