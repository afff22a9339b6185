package org.guavahatch.scheduling.rollout

/**
 * An operator's order to move the traffic of an endpoint pool to another version.
 *
 * @property pool name of the endpoint pool
 * @property targetVersion version that is to get the traffic
 * @property durationMilliseconds time limit of the rollout, counted from its start
 * @property revision version number of the row with the order; a newer order has a higher one
 */
public data class RolloutOrder(
    public val pool: String,
    public val targetVersion: String,
    public val durationMilliseconds: Long,
    public val revision: Long,
)
