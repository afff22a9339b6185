package org.guavahatch.scheduling.memory

import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * Memory of the engines of a pool. An engine ends if the requests that it holds exceed its memory.
 *
 * @property capacityTokens tokens that one engine can hold
 */
public class EngineMemory(public val capacityTokens: Long) {
    private val usableTokens = (capacityTokens * USABLE_SHARE).toLong()

    /**
     * Whether [endpoint] has memory for [request]. A request that is larger than the usable memory is admitted to an
     * endpoint that holds nothing.
     */
    public fun admits(request: WaitingRequest, endpoint: EndpointState): Boolean {
        val held = endpoint.ownTokens + endpoint.peerTokens
        val tokens = tokensOf(request)
        return tokens == 0L || held + tokens <= usableTokens || isEmpty(endpoint)
    }

    /** Whether [request] is larger than the usable memory, so that only an empty endpoint takes it. */
    public fun isOversized(request: WaitingRequest): Boolean = tokensOf(request) > usableTokens

    private fun isEmpty(endpoint: EndpointState) =
        endpoint.ownRequests == 0 && endpoint.peerRequests == 0 && endpoint.ownTokens + endpoint.peerTokens == 0L

    public companion object {
        /** The rest is for requests that other gateways send meanwhile and for answers longer than expected. */
        private const val USABLE_SHARE = 0.9

        /** Callers' estimates of the answer length are often too low by half. */
        private const val ANSWER_LENGTH_MARGIN = 1.5

        /** Tokens that [request] holds until it ends: its prompt and its expected output; 0 for applications. */
        public fun tokensOf(request: WaitingRequest): Long {
            val estimated = request.estimatedTokens ?: return request.promptTokens + request.outputTokens
            return request.promptTokens + minOf((estimated * ANSWER_LENGTH_MARGIN).toLong(), request.outputTokens)
        }
    }
}
