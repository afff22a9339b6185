package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.configuration.EndpointPool
import org.guavahatch.model.configuration.PoolKind

/**
 * Limits on the requests that are reserved or running at an endpoint at once. An idle endpoint admits any request.
 *
 * @property maximumConcurrent maximum number of requests
 * @property maximumTokens maximum sum of prompt and output tokens; a single larger request is admitted alone
 * @property maximumPrefills maximum number of requests that have not produced their first token
 */
public data class EndpointLimits(
    public val maximumConcurrent: Int,
    public val maximumTokens: Long,
    public val maximumPrefills: Int,
) {
    public companion object {
        /** The limits configured for [pool]. Application pools have no limits on tokens and prefills. */
        public fun of(pool: EndpointPool): EndpointLimits = when (pool.kind) {
            PoolKind.MODEL -> EndpointLimits(pool.maximumConcurrent, pool.maximumTokens, pool.maximumPrefills)
            PoolKind.APPLICATION -> EndpointLimits(pool.maximumConcurrent, Long.MAX_VALUE, Int.MAX_VALUE)
        }
    }
}
