package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.configuration.EndpointPool
import org.guavahatch.model.configuration.PoolKind

/**
 * How much a sidecar has at its endpoint at once.
 *
 * @property maximumConcurrent requests
 * @property maximumTokens tokens of prompt and output; a single larger request is admitted alone
 * @property maximumPrefills requests before their first token
 */
public data class EndpointLimits(
    public val maximumConcurrent: Int,
    public val maximumTokens: Long,
    public val maximumPrefills: Int,
) {
    public companion object {
        /** The limits that [pool] sets. Applications have no tokens and no prefill. */
        public fun of(pool: EndpointPool): EndpointLimits = when (pool.kind) {
            PoolKind.MODEL -> EndpointLimits(pool.maximumConcurrent, pool.maximumTokens, pool.maximumPrefills)
            PoolKind.APPLICATION -> EndpointLimits(pool.maximumConcurrent, Long.MAX_VALUE, Int.MAX_VALUE)
        }
    }
}
