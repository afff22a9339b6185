package org.guavahatch.scheduling.estimate

import org.guavahatch.model.configuration.PoolKind

/**
 * Estimates what a request costs an endpoint. The unit is the time that one output token of one stream takes; a prompt
 * token costs a fraction of it because prompts are computed in parallel. A call of an application costs 1.
 *
 * @property promptTokenCost cost of a prompt token, default 0.05
 */
public class CostModel(public val promptTokenCost: Double = DEFAULT_PROMPT_TOKEN_COST) {
    /** Cost of a request of a pool of [kind] with these token counts; above 0. */
    public fun cost(kind: PoolKind, promptTokens: Int, outputTokens: Int): Double = when (kind) {
        PoolKind.APPLICATION -> APPLICATION_COST
        PoolKind.MODEL -> maxOf(MINIMUM_COST, promptTokens * promptTokenCost + outputTokens)
    }

    public companion object {
        private const val APPLICATION_COST = 1.0
        private const val MINIMUM_COST = 1.0
        private const val DEFAULT_PROMPT_TOKEN_COST = 0.05
    }
}
