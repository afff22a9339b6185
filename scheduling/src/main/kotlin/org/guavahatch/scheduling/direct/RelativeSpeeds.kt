package org.guavahatch.scheduling.direct

/** Measured speeds of [endpoints]; an endpoint without a measurement counts as average. */
internal class RelativeSpeeds(endpoints: Collection<EndpointState>) {
    private val averagePrefill = positiveAverage(endpoints.mapNotNull { it.prefillMillisecondsPerToken })
    private val averagePace = positiveAverage(endpoints.mapNotNull { it.paceMilliseconds })
    private val averageSustainedPace = positiveAverage(endpoints.mapNotNull { it.sustainedPaceMilliseconds })
    private val averageTokensPerEvent = positiveAverage(endpoints.mapNotNull { it.estimatedTokensPerEvent })
    private val fastestPrefill = endpoints.mapNotNull { it.prefillMillisecondsPerToken }.minOrNull()

    /** Expected milliseconds to generate the answer to [request] at [endpoint]; 0 if it cannot be estimated. */
    fun generationMilliseconds(request: WaitingRequest, endpoint: EndpointState): Double {
        val tokens = request.estimatedTokens ?: return 0.0
        val events = tokens / (averageTokensPerEvent ?: return 0.0)
        return events * (endpoint.sustainedPaceMilliseconds ?: averageSustainedPace ?: return 0.0)
    }

    fun millisecondsPerToken(endpoint: EndpointState): Double =
        endpoint.prefillMillisecondsPerToken ?: averagePrefill ?: 0.0

    /** Duration relative to the average: 1 for an average endpoint, more for a slower one. */
    fun slowness(endpoint: EndpointState): Double {
        if (averagePrefill != null) return millisecondsPerToken(endpoint) / averagePrefill
        return (endpoint.paceMilliseconds ?: return 1.0) / (averagePace ?: return 1.0)
    }

    fun isFast(endpoint: EndpointState): Boolean =
        millisecondsPerToken(endpoint) <= (fastestPrefill ?: 0.0) * FAST_ENDPOINT_RATIO

    private fun positiveAverage(values: List<Double>): Double? = values.average().takeIf { !it.isNaN() && it > 0 }

    companion object {
        /** An endpoint counts as fast if it takes at most this multiple of the fastest one's time. */
        const val FAST_ENDPOINT_RATIO = 1.25
    }
}
