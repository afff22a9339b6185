package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * A class of urgency. A request of a tier is never shed while one of a lower tier is served in the same pool.
 *
 * @property name unique among the tiers
 * @property rank 0 is the highest tier; unique among the tiers
 * @property weight what one answer in time counts in the weighted goodput, 1 to 1000, default 1
 * @property objectivePercent share of requests that are to be answered in time, above 0 and below 100, default 99.0
 */
@Serializable
public data class Tier(
    public val name: String,
    public val rank: Int,
    public val weight: Int = 1,
    public val objectivePercent: Double = 99.0,
)
