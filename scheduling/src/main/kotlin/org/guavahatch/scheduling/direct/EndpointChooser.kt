package org.guavahatch.scheduling.direct

import kotlin.random.Random

/** Chooses the endpoint for a request. */
public interface EndpointChooser {
    /** The endpoint among [candidates] that [request] should go to at [now], or null if it should wait. */
    public fun choose(request: WaitingRequest, candidates: Collection<EndpointState>, now: Long): EndpointState?
}

/**
 * Sends a request where its first token is expected soonest, and nowhere while all batches are full.
 *
 * Endpoints admit in order of arrival and know no ranks, so their own queues are kept empty: the order is made here.
 * The expectation is the prompt tokens waiting before the request and its own, slowed by the running requests, times
 * the endpoint's time for a prompt token. An engine prefills between the steps of the streams that it runs, so a
 * request waits rather than making the pauses of those streams too long, until it would itself be late. An answer that
 * is expected to be long goes where it can be generated before its deadline, or else to one of the fastest engines. The
 * load it answers: unlike engines with stale reports, long prompts among streams, and answers of unlike length.
 *
 * @property random breaks ties, so that gateways with the same sight do not all choose the same endpoint
 * @property zone availability zone of this gateway
 */
public class SoonestFirstToken(private val random: Random, private val zone: String) : EndpointChooser {
    override fun choose(request: WaitingRequest, candidates: Collection<EndpointState>, now: Long): EndpointState? {
        val usable = candidates.filter { it.isUsableAt(now) }
        val speeds = Speeds(usable)
        val longest = longestGeneration(request, usable, speeds, now)
        val open = usable.filter { hasRoom(it, now) }
            .filter { speeds.generation(request, it) <= longest }
            .filter { leavesStreamsAlone(request, it, speeds, now) }
        return open.filter { it.listed.id !in request.avoided }.ifEmpty { open }
            .minByOrNull { expectation(request, it, speeds, now) }
    }

    private fun hasRoom(endpoint: EndpointState, now: Long) =
        endpoint.freeSlotsAt(now) > 0 && endpoint.ownRequests < endpoint.ownLimit

    /**
     * The longest time in milliseconds that generating the answer to [request] may take, so that it ends before its
     * deadline or as soon as any of [endpoints] can end it.
     */
    private fun longestGeneration(
        request: WaitingRequest,
        endpoints: List<EndpointState>,
        speeds: Speeds,
        now: Long,
    ): Double {
        // The caller of a stream that was broken off waits for the next event, wherever it comes from.
        if (request.hasBegun) return Double.MAX_VALUE
        val soonest = endpoints.minOfOrNull { speeds.generation(request, it) } ?: 0.0
        val margin = if (now >= request.abandonAt - FIRST_EVENT_MILLISECONDS) 1.0 else LENGTH_MARGIN
        return maxOf((request.deadline - now) / margin, soonest * NEARLY_AS_FAST)
    }

    /** Whether prefilling [request] at [endpoint] keeps the pauses of its streams within their objective. */
    private fun leavesStreamsAlone(
        request: WaitingRequest,
        endpoint: EndpointState,
        speeds: Speeds,
        now: Long,
    ): Boolean {
        val longestPause = request.longestPause ?: return true
        if (now >= request.targetAt - FIRST_EVENT_MILLISECONDS) return true
        val stall = (endpoint.prefillTokens + request.promptTokens) * speeds.millisecondsPerToken(endpoint)
        if (stall <= longestPause * STALL_PART) return true
        // A prompt that is too long for any endpoint goes to a fast one that prefills nothing else.
        return endpoint.prefillTokens == 0L && speeds.isFast(endpoint)
    }

    private fun expectation(request: WaitingRequest, endpoint: EndpointState, speeds: Speeds, now: Long): Double {
        val work = BASE_TOKENS + endpoint.prefillTokens + request.promptTokens +
            endpoint.requestsAt(now) * TOKENS_PER_RUNNING
        val failures = 1 + FAILURE_PENALTY * endpoint.recentFailures
        val distance = if (endpoint.listed.zone == zone) 1.0 else OTHER_ZONE
        return work * speeds.slowness(endpoint) * failures * distance * (1 + random.nextDouble() * TIE_SPREAD)
    }

    /** How fast [endpoints] are, compared with each other. */
    private class Speeds(endpoints: Collection<EndpointState>) {
        private val typicalPrefill = typical(endpoints.mapNotNull { it.prefillMillisecondsPerToken })
        private val typicalPace = typical(endpoints.mapNotNull { it.paceMilliseconds })
        private val typicalSustainedPace = typical(endpoints.mapNotNull { it.sustainedPaceMilliseconds })
        private val typicalTokensPerEvent = typical(endpoints.mapNotNull { it.estimatedTokensPerEvent })
        private val fastestPrefill = endpoints.mapNotNull { it.prefillMillisecondsPerToken }.minOrNull()

        /** Milliseconds that generating the answer to [request] at [endpoint] will take; 0 if nothing tells. */
        fun generation(request: WaitingRequest, endpoint: EndpointState): Double {
            val tokens = request.estimatedTokens ?: return 0.0
            val events = tokens / (typicalTokensPerEvent ?: return 0.0)
            return events * (endpoint.sustainedPaceMilliseconds ?: typicalSustainedPace ?: return 0.0)
        }

        fun millisecondsPerToken(endpoint: EndpointState): Double =
            endpoint.prefillMillisecondsPerToken ?: typicalPrefill ?: 0.0

        /** 1 for a typical endpoint, more for a slower one. */
        fun slowness(endpoint: EndpointState): Double {
            if (typicalPrefill != null) return millisecondsPerToken(endpoint) / typicalPrefill
            return (endpoint.paceMilliseconds ?: return 1.0) / (typicalPace ?: return 1.0)
        }

        fun isFast(endpoint: EndpointState): Boolean =
            millisecondsPerToken(endpoint) <= (fastestPrefill ?: 0.0) * NEARLY_AS_FAST

        private fun typical(values: List<Double>): Double? = values.average().takeIf { !it.isNaN() && it > 0 }
    }

    private companion object {
        /** Fixed work of a request, as prompt tokens. */
        const val BASE_TOKENS = 500

        /** What one running request delays the next first token, as prompt tokens. */
        const val TOKENS_PER_RUNNING = 300

        /** An endpoint that fails each request looks eleven times as slow. */
        const val FAILURE_PENALTY = 10.0

        /** Bytes between zones are paid for; worth a detour of a twentieth. */
        const val OTHER_ZONE = 1.05

        const val TIE_SPREAD = 0.1

        /** Time from the send to the first event that is kept free of waiting. */
        const val FIRST_EVENT_MILLISECONDS = 400L

        /** Of the longest pause; the rest is for the streams' own steps. */
        const val STALL_PART = 0.6
        const val NEARLY_AS_FAST = 1.25

        /** Callers' estimates are often too low by half. */
        const val LENGTH_MARGIN = 1.5
    }
}
