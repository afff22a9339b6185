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
        val eligible = usable.filter { it.hasOwnSlotAt(now) && isAllowed(it) }
            .filter { speeds.generationMilliseconds(request, it) <= longest }
            .filter { PauseObjective.keepsPauses(request, it, speeds, now) }
        return eligible.filter { it.listed.id !in request.avoidedEndpoints }.ifEmpty { eligible }
            .minByOrNull { expectedDelay(request, it, speeds, now) }
    }

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
        val margin = if (now >=
            request.patienceEndsAt - PauseObjective.FIRST_EVENT_MILLISECONDS
        ) {
            1.0
        } else {
            ANSWER_LENGTH_MARGIN
        }
        return maxOf((request.deadline - now) / margin, fastest * RelativeSpeeds.FAST_ENDPOINT_RATIO)
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

        /** Callers' estimates of the answer length are often too low by half. */
        const val ANSWER_LENGTH_MARGIN = 1.5
    }
}
