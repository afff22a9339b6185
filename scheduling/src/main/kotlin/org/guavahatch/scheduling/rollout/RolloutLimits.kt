package org.guavahatch.scheduling.rollout

/**
 * Limits on what a version under test may get, over all gateways.
 *
 * @property exposureShare largest share of a pool's requests that the version may get, 0 to 1
 * @property exposureSlack requests allowed beyond that share
 * @property rollbackMilliseconds time after the 50th bad answer after which a bad version gets no request
 */
public data class RolloutLimits(
    public val exposureShare: Double,
    public val exposureSlack: Int,
    public val rollbackMilliseconds: Long,
)
