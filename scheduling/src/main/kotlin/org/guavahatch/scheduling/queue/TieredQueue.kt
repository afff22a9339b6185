package org.guavahatch.scheduling.queue

import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.QueuedTier
import java.util.TreeMap

/**
 * Priority queue of requests: by tier, then by fair share of cost between accounts, then by earliest deadline. Adding
 * and removing takes logarithmic time in the number of requests. Not thread-safe.
 */
public class TieredQueue {
    private val tiers = TreeMap<Int, TierQueue>()
    private val byId = HashMap<RequestId, QueuedRequest>()

    /** Number of queued requests. */
    public val size: Int get() = byId.size

    /** Adds [request], replacing a queued request with the same identifier. */
    public fun add(request: QueuedRequest) {
        remove(request.requestId)
        byId[request.requestId] = request
        tiers.getOrPut(request.rank) { TierQueue() }.add(request)
    }

    /** The next request to serve, or null if the queue is empty. */
    public fun first(): QueuedRequest? = tiers.values.firstNotNullOfOrNull { it.first() }

    /** Removes the request with [requestId] and returns it, or null if it was not queued. */
    public fun remove(requestId: RequestId): QueuedRequest? {
        val request = byId.remove(requestId) ?: return null
        tiers.getValue(request.rank).remove(request)
        return request
    }

    /** Charges the cost of [request] to its account. To be called when a removed request is served. */
    public fun charge(request: QueuedRequest) {
        tiers.getOrPut(request.rank) { TierQueue() }.charge(request)
    }

    /** Number and total cost of the queued requests of each tier, highest tier first; empty tiers are left out. */
    public fun summary(): List<QueuedTier> =
        tiers.filterValues { it.requests > 0 }.map { (rank, queue) -> QueuedTier(rank, queue.requests, queue.cost) }

    /** The queued requests that satisfy [predicate], in linear time. */
    public fun filter(predicate: (QueuedRequest) -> Boolean): List<QueuedRequest> = byId.values.filter(predicate)
}
