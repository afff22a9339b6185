package org.guavahatch.daemon.entry

import org.guavahatch.model.configuration.PoolKind
import org.guavahatch.scheduling.choice.PrefixIndex
import org.guavahatch.scheduling.dispatch.RequestSpecification
import org.guavahatch.scheduling.estimate.CostModel
import org.guavahatch.scheduling.estimate.LengthEstimator

/** Makes the dispatcher's view of a request, with estimates of its cost that are learned from earlier answers. */
internal class SpecificationBuilder {
    private val costs = CostModel()
    private val lengths = LengthEstimator()
    private val prefixes = PrefixIndex()

    fun build(exchange: Exchange): RequestSpecification {
        val plan = exchange.plan
        val promptTokens = PromptLength.tokens(plan.prompt)
        val outputTokens = estimateOutput(plan)
        val isModel = plan.pool.kind == PoolKind.MODEL
        return RequestSpecification(
            requestId = exchange.requestId,
            pool = plan.pool.name,
            route = plan.route.name,
            account = plan.account.name,
            share = plan.account.share,
            rank = plan.tier.rank,
            dispatch = plan.dispatch,
            needsClaim = plan.needsClaim,
            cost = costs.cost(plan.pool.kind, promptTokens, outputTokens),
            promptCost = if (isModel) costs.promptTokenCost * promptTokens else 0.0,
            tokens = if (isModel) promptTokens.toLong() + plan.maximumTokens else 0,
            prefixBlocks = if (isModel) prefixes.blocksOf(plan.prompt) else emptyList(),
            deadlineMilliseconds = exchange.acceptedMilliseconds + plan.deadlineMilliseconds,
        )
    }

    @Synchronized
    private fun estimateOutput(plan: RequestPlan): Int =
        lengths.estimate(plan.route.name, plan.account.name, plan.maximumTokens)

    /** Learns from a request that was answered. */
    @Synchronized
    fun learn(exchange: Exchange) {
        val tokens = exchange.outputTokens
        if (tokens > 0) lengths.observe(exchange.plan.route.name, exchange.plan.account.name, tokens)
    }
}
