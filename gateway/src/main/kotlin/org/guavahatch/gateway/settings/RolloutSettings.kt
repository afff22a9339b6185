package org.guavahatch.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Limits of rollouts.
 *
 * @property exposureShare largest share of a pool's requests that a version under test may get, 0 to 1
 * @property exposureSlack requests allowed beyond that share, over all gateways
 * @property rollbackMilliseconds time after the 50th bad answer over all gateways after which the version gets no
 * request
 */
@Serializable
data class RolloutSettings(val exposureShare: Double, val exposureSlack: Int, val rollbackMilliseconds: Long) {
    init {
        require(exposureShare in 0.0..1.0) { "rollouts.exposureShare: $exposureShare is not in 0 to 1" }
        require(exposureSlack >= 0) { "rollouts.exposureSlack: $exposureSlack is negative" }
        require(rollbackMilliseconds > 0) { "rollouts.rollbackMilliseconds: $rollbackMilliseconds is not positive" }
    }
}
