package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.Offer

/** The requests that hold capacity at the endpoint, with the totals that [EndpointLimits] apply to. */
internal class RunningRequests {
    private val byId = LinkedHashMap<RequestId, RunningRequest>()
    private var tokens = 0L

    val size: Int get() = byId.size

    val all: Collection<RunningRequest> get() = byId.values

    val remainingCost: Double get() = byId.values.sumOf { it.remainingCost }

    val lowestRank: Int get() = byId.values.maxOfOrNull { it.offer.rank } ?: NO_RANK

    operator fun get(requestId: RequestId): RunningRequest? = byId[requestId]

    operator fun contains(requestId: RequestId): Boolean = requestId in byId

    fun add(request: RunningRequest) {
        byId[request.offer.requestId] = request
        tokens += request.offer.tokens
    }

    fun remove(requestId: RequestId): RunningRequest? = byId.remove(requestId)?.also { tokens -= it.offer.tokens }

    fun hasCapacityFor(offer: Offer, limits: EndpointLimits): Boolean = when {
        byId.isEmpty() -> true
        byId.size >= limits.maximumConcurrent -> false
        byId.values.count { !it.hasFirstToken } >= limits.maximumPrefills -> false
        else -> tokens + offer.tokens <= limits.maximumTokens
    }

    private companion object {
        const val NO_RANK = -1
    }
}
