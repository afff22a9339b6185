package org.guavahatch.gateway.request

import org.guavahatch.scheduling.direct.AnswerSizeForecast
import org.guavahatch.scheduling.direct.CompletionForecast
import org.guavahatch.scheduling.direct.FirstEventForecast
import org.guavahatch.scheduling.direct.WaitingRequest

/** Forecasts for the requests of one pool, from its recent answers. */
class PoolForecasts {
    private val completions = CompletionForecast()
    private val answerSizes = AnswerSizeForecast()

    /** Expected time from the send of a request to its first event. */
    val firstEvents: FirstEventForecast = FirstEventForecast()

    /** Records that [plan] was answered with [bytes] of body [milliseconds] after its send. */
    fun recordAnswer(plan: RequestPlan, milliseconds: Long, bytes: Long) {
        val waiting = plan.waiting
        completions.record(plan.route.name, waiting.outputTokens, milliseconds)
        answerSizes.record(plan.route.name, waiting.estimatedTokens ?: waiting.outputTokens, bytes)
    }

    /** Expected milliseconds from the send of [request] on [route] to its end, or null before the first answer. */
    fun completionMilliseconds(route: String, request: WaitingRequest): Long? =
        completions.expected(route, request.outputTokens)

    /** Expected bytes of the answer to a request on [route] for [outputTokens]; 0 before the first answer. */
    fun answerBytes(route: String, outputTokens: Long): Long = answerSizes.expected(route, outputTokens)
}
