package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * A priority tier. A request is never shed while the same pool serves a request of a lower tier.
 *
 * @property name name, unique among the tiers
 * @property rank position of the tier, unique among the tiers; 0 is the highest tier
 * @property weight weight in the weighted goodput of each request answered before its deadline, 1 to 1000, default 1
 * @property objectivePercent target percentage of requests that are answered before their deadline, above 0 and
 * below 100, default 99.0
 */
@Serializable
public data class Tier(
    public val name: String,
    public val rank: Int,
    public val weight: Int = 1,
    public val objectivePercent: Double = 99.0,
)
