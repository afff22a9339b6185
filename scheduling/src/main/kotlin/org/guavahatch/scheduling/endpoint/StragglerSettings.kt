package org.guavahatch.scheduling.endpoint

/**
 * Thresholds of the straggler detection. The average is that of the times between tokens at the endpoint.
 *
 * @property minimumStallMilliseconds shortest wait for a token that counts as a stall, default 300
 * @property stallFactor wait for a token, as a multiple of the average, above which the endpoint is stalled, default 6
 * @property normalGapFactor time between tokens, as a multiple of the average, up to which it is normal, default 3
 * @property normalGapsToRecover number of consecutive normal times between tokens after which the endpoint is normal
 * again, default 20
 * @property probeAfterMilliseconds how long a straggler gets no work before it is probed, default 2000
 * @property weight weight of a new time between tokens in the exponentially weighted average, default 0.02
 */
public data class StragglerSettings(
    public val minimumStallMilliseconds: Long = 300,
    public val stallFactor: Double = 6.0,
    public val normalGapFactor: Double = 3.0,
    public val normalGapsToRecover: Int = 20,
    public val probeAfterMilliseconds: Long = 2000,
    public val weight: Double = 0.02,
)
