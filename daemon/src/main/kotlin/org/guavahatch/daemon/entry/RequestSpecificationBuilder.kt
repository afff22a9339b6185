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
        val request = exchange.request
        val promptTokens = PromptTokenEstimator.estimate(request.prompt)
        val outputTokens = estimateOutputTokens(request)
        val isModel = request.pool.kind == PoolKind.MODEL
        return RequestSpecification(
            requestId = exchange.requestId,
            pool = request.pool.name,
            route = request.route.name,
            account = request.account.name,
            share = request.account.share,
            rank = request.tier.rank,
            dispatch = request.dispatch,
            needsClaim = request.needsClaim,
            cost = costModel.cost(request.pool.kind, promptTokens, outputTokens),
            promptCost = if (isModel) costModel.promptTokenCost * promptTokens else 0.0,
            tokens = if (isModel) promptTokens.toLong() + request.maximumTokens else 0,
            prefixBlocks = if (isModel) prefixIndex.blocksOf(request.prompt) else emptyList(),
            deadlineMilliseconds = exchange.acceptedAtMilliseconds + request.deadlineMilliseconds,
        )
    }

    @Synchronized
    private fun estimateOutputTokens(request: ValidatedRequest): Int =
        lengthEstimator.estimate(request.route.name, request.account.name, request.maximumTokens)

    /** Updates the estimates of answer lengths from an answered request. */
    @Synchronized
    fun observeAnswer(exchange: Exchange) {
        val tokens = exchange.outputTokens
        if (tokens > 0) lengthEstimator.observe(exchange.request.route.name, exchange.request.account.name, tokens)
    }
}
