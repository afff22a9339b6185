package org.guavahatch.scheduling.estimate

import org.guavahatch.model.configuration.PoolKind

/**
 * Estimates the cost of a request to an endpoint. The unit is the time that one output token of one stream takes. A
 * prompt token costs a fraction of that, because the tokens of a prompt are computed in parallel. A call of an
 * application costs 1.
 *
 * @property promptTokenCost cost of a prompt token, default 0.05
 */
public class CostModel(public val promptTokenCost: Double = DEFAULT_PROMPT_TOKEN_COST) {
    /** Cost of a request with these token counts to a pool of [kind], at least 1. */
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
