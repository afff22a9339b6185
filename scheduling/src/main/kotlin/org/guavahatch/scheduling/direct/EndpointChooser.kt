package org.guavahatch.scheduling.direct

import kotlin.random.Random

/** Chooses the endpoint for a request. */
public interface EndpointChooser {
    /** Returns the endpoint among [candidates] to send [request] to at [now], or null if the request should wait. */
    public fun choose(request: WaitingRequest, candidates: Collection<EndpointState>, now: Long): EndpointState? =
        choose(request, candidates, now) { true }

    /**
     * Returns the endpoint among [candidates] for which [isAllowed] holds to send [request] to at [now], or null if the
     * request should wait. The other candidates only serve to compare speeds.
     */
    public fun choose(
        request: WaitingRequest,
        candidates: Collection<EndpointState>,
        now: Long,
        isAllowed: (EndpointState) -> Boolean,
    ): EndpointState?
}

/**
 * Chooses the endpoint with the earliest expected first token, or none while all batches are full.
 *
 * Endpoints process requests in order of arrival and ignore ranks, so requests are queued and ordered here and the
 * queues of the endpoints stay empty. The expected delay is the work ahead of the first token, in prompt tokens, times
 * the endpoint's time per prompt token. The work consists of the prompt tokens waiting at the endpoint, those of the
 * request, and an allowance for each running request.
 *
 * An engine prefills between the decoding steps of its streams, so a long prompt makes these streams pause. A request
 * therefore waits if its prefill would make the pauses too long, until it would miss its own latency objective. A
 * request with a long expected answer goes to an endpoint that can complete it before its deadline, or else to one of
 * the fastest.
 *
 * This covers engines of different speed with outdated reports, long prompts beside streams, and answers of very
 * different length.
 *
 * @property random breaks ties, so that gateways with the same information do not all choose the same endpoint
 * @property zone availability zone of this gateway
 */
public class EarliestFirstTokenChooser(private val random: Random, private val zone: String) : EndpointChooser {
    override fun choose(
        request: WaitingRequest,
        candidates: Collection<EndpointState>,
        now: Long,
        isAllowed: (EndpointState) -> Boolean,
    ): EndpointState? {
        val usable = candidates.filter { it.isUsableAt(now) }
        val speeds = RelativeSpeeds(usable)
        val longest = longestGenerationMilliseconds(request, usable, speeds, now)
        val eligible = usable.filter { hasFreeSlot(it, now) && isAllowed(it) }
            .filter { speeds.generationMilliseconds(request, it) <= longest }
            .filter { keepsPausesWithinObjective(request, it, speeds, now) }
        return eligible.filter { it.listed.id !in request.avoidedEndpoints }.ifEmpty { eligible }
            .minByOrNull { expectedDelay(request, it, speeds, now) }
    }

    private fun hasFreeSlot(endpoint: EndpointState, now: Long) =
        endpoint.freeSlotsAt(now) > 0 && endpoint.ownRequests < endpoint.ownRequestLimit

    /**
     * Maximum time in milliseconds to generate the answer to [request]: the time until its deadline with a margin for
     * answers that are longer than estimated, or the time of the fastest of [endpoints] with a tolerance if that is
     * longer.
     */
    private fun longestGenerationMilliseconds(
        request: WaitingRequest,
        endpoints: List<EndpointState>,
        speeds: RelativeSpeeds,
        now: Long,
    ): Double {
        // The caller of an interrupted stream waits for the next event, so any endpoint may continue it.
        if (request.hasAnswerBegun) return Double.MAX_VALUE
        val fastest = endpoints.minOfOrNull { speeds.generationMilliseconds(request, it) } ?: 0.0
        val margin = if (now >= request.patienceEndsAt - FIRST_EVENT_MILLISECONDS) 1.0 else ANSWER_LENGTH_MARGIN
        return maxOf((request.deadline - now) / margin, fastest * FAST_ENDPOINT_RATIO)
    }

    /** Whether prefilling [request] at [endpoint] keeps the pauses of the streams there within their objective. */
    private fun keepsPausesWithinObjective(
        request: WaitingRequest,
        endpoint: EndpointState,
        speeds: RelativeSpeeds,
        now: Long,
    ): Boolean {
        val longestPauseMilliseconds = request.longestPauseMilliseconds ?: return true
        val firstEventMilliseconds = maxOf(FIRST_EVENT_MILLISECONDS, request.firstEventMilliseconds)
        if (now >= request.objectiveEndsAt - firstEventMilliseconds) return true
        val prefillTokens = endpoint.prefillTokens + request.promptTokens
        val prefillMilliseconds = prefillTokens * speeds.millisecondsPerToken(endpoint)
        if (prefillMilliseconds <= longestPauseMilliseconds * PREFILL_PAUSE_SHARE) return true
        val measuredPause = endpoint.pauseWhilePrefillingMilliseconds
        if (measuredPause != null && measuredPause <= longestPauseMilliseconds * MEASURED_PAUSE_SHARE) return true
        // A prompt that exceeds the objective at every endpoint goes to a fast one that prefills nothing else.
        return endpoint.prefillTokens == 0L && speeds.isFast(endpoint)
    }

    /** Relative delay until the first token of [request] at [endpoint], in prompt tokens at an average endpoint. */
    private fun expectedDelay(
        request: WaitingRequest,
        endpoint: EndpointState,
        speeds: RelativeSpeeds,
        now: Long,
    ): Double {
        val workTokens = BASE_TOKENS + endpoint.prefillTokens + request.promptTokens +
            endpoint.requestsAt(now) * TOKENS_PER_RUNNING
        val failurePenalty = 1 + FAILURE_PENALTY * endpoint.recentFailureRate
        val zonePenalty = if (endpoint.listed.zone == zone) 1.0 else OTHER_ZONE_PENALTY
        return workTokens * speeds.slowness(endpoint) * failurePenalty * zonePenalty *
            (1 + random.nextDouble() * TIE_BREAKING_JITTER)
    }

    /** Measured speeds of [endpoints]; an endpoint without a measurement counts as average. */
    private class RelativeSpeeds(endpoints: Collection<EndpointState>) {
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
    }

    private companion object {
        /** Fixed work of a request in prompt tokens. */
        const val BASE_TOKENS = 500

        /** Delay that a running request adds to the next first token, in prompt tokens. */
        const val TOKENS_PER_RUNNING = 300

        /** An endpoint that fails every request counts as eleven times as slow. */
        const val FAILURE_PENALTY = 10.0

        /** Traffic between zones is charged; avoiding it is worth a twentieth more delay. */
        const val OTHER_ZONE_PENALTY = 1.05

        const val TIE_BREAKING_JITTER = 0.1

        /** Time reserved for a request between its send and its first event. */
        const val FIRST_EVENT_MILLISECONDS = 400L

        /** Share of the longest pause that a prefill may take; the rest is for the decoding steps of the streams. */
        const val PREFILL_PAUSE_SHARE = 0.6

        /** Share of the longest pause that measured pauses may take; the rest is for the few that are longer. */
        const val MEASURED_PAUSE_SHARE = 0.75

        /** An endpoint counts as fast if it takes at most this multiple of the fastest one's time. */
        const val FAST_ENDPOINT_RATIO = 1.25

        /** Callers' estimates of the answer length are often too low by half. */
        const val ANSWER_LENGTH_MARGIN = 1.5
    }
}
