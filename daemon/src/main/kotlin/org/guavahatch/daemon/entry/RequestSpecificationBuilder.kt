package org.guavahatch.daemon.entry

import org.guavahatch.model.configuration.PoolKind
import org.guavahatch.scheduling.choice.PrefixIndex
import org.guavahatch.scheduling.dispatch.RequestSpecification
import org.guavahatch.scheduling.estimate.CostModel
import org.guavahatch.scheduling.estimate.LengthEstimator

/** Builds the specification of a request for the dispatcher, with a cost estimate based on earlier answers. */
internal class RequestSpecificationBuilder {
    private val costModel = CostModel()
    private val lengthEstimator = LengthEstimator()
    private val prefixIndex = PrefixIndex()

    fun build(exchange: Exchange): RequestSpecification {
        val plan = exchange.plan
        val promptTokens = PromptTokenEstimator.estimate(plan.prompt)
        val outputTokens = estimateOutputTokens(plan)
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
            cost = costModel.cost(plan.pool.kind, promptTokens, outputTokens),
            promptCost = if (isModel) costModel.promptTokenCost * promptTokens else 0.0,
            tokens = if (isModel) promptTokens.toLong() + plan.maximumTokens else 0,
            prefixBlocks = if (isModel) prefixIndex.blocksOf(plan.prompt) else emptyList(),
            deadlineMilliseconds = exchange.acceptedAtMilliseconds + plan.deadlineMilliseconds,
        )
    }

    @Synchronized
    private fun estimateOutputTokens(plan: RequestPlan): Int =
        lengthEstimator.estimate(plan.route.name, plan.account.name, plan.maximumTokens)

    /** Updates the estimates of answer lengths from an answered request. */
    @Synchronized
    fun observeAnswer(exchange: Exchange) {
        val tokens = exchange.outputTokens
        if (tokens > 0) lengthEstimator.observe(exchange.plan.route.name, exchange.plan.account.name, tokens)
    }
}
