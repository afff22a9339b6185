package org.guavahatch.scheduling.direct

/**
 * Cost of requests in prompt tokens, from the measured speeds of the endpoints of a pool.
 *
 * An engine decodes the streams of all its slots in one step, so an output token costs the time of a step divided by
 * the slots. A prompt token costs the time of its prefill, during which no other stream gets on.
 */
public class TokenCost {
    private var measuredAt: Long? = null

    /** Cost of an output token in prompt tokens; 1 until both are measured. */
    public var outputWeight: Double = 1.0
        private set

    /** Takes over the speeds of [endpoints] at [now], at most each second, as they are averages over seconds. */
    public fun measure(endpoints: Collection<EndpointState>, now: Long) {
        measuredAt?.let { if (now - it < INTERVAL_MILLISECONDS) return }
        measuredAt = now
        val weights = endpoints.mapNotNull(::outputWeightOf)
        if (weights.isNotEmpty()) outputWeight = weights.average()
    }

    /** Cost of [request]; [unitsWithoutTokens] if its number of tokens is not known, at least 1. */
    public fun of(request: WaitingRequest, unitsWithoutTokens: Long): Double {
        if (request.promptTokens <= 0) return maxOf(1.0, unitsWithoutTokens.toDouble())
        return request.promptTokens + outputWeight * (request.estimatedTokens ?: request.outputTokens)
    }

    private fun outputWeightOf(endpoint: EndpointState): Double? {
        val prefill = endpoint.prefillMillisecondsPerToken?.takeIf { it > 0 } ?: return null
        val step = endpoint.sustainedPaceMilliseconds ?: return null
        val tokensPerStep = maxOf(endpoint.estimatedTokensPerEvent ?: 1.0, 1.0)
        return step / (tokensPerStep * maxOf(endpoint.listed.slots, 1) * prefill)
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 1_000L
    }
}
