package org.guavahatch.scheduling.queue

import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.QueuedTier
import java.util.TreeMap

/**
 * Queue of requests: higher tiers first; within a tier accounts by fair share of cost; within an account earliest
 * deadline first. Adding and taking is logarithmic in the number of requests. Not safe for use by several threads.
 */
public class TieredQueue {
    private val tiers = TreeMap<Int, TierLine>()
    private val byId = HashMap<RequestId, QueuedRequest>()

    /** Number of queued requests. */
    public val size: Int get() = byId.size

    /** Adds [request]; a request that is queued already is replaced. */
    public fun add(request: QueuedRequest) {
        remove(request.requestId)
        byId[request.requestId] = request
        tiers.getOrPut(request.rank) { TierLine() }.add(request)
    }

    /** The request whose turn it is, or null if the queue is empty. */
    public fun first(): QueuedRequest? = tiers.values.firstNotNullOfOrNull { it.first() }

    /** Takes [requestId] out; returns it, or null if it was not queued. */
    public fun remove(requestId: RequestId): QueuedRequest? {
        val request = byId.remove(requestId) ?: return null
        tiers.getValue(request.rank).remove(request)
        return request
    }

    /** Charges [request], which was taken out of this queue, to its account. Call it when the request is served. */
    public fun charge(request: QueuedRequest) {
        tiers.getOrPut(request.rank) { TierLine() }.charge(request)
    }

    /** Requests and cost by tier, highest first, without tiers that have none. */
    public fun summary(): List<QueuedTier> =
        tiers.filterValues { it.requests > 0 }.map { (rank, line) -> QueuedTier(rank, line.requests, line.cost) }

    /** The queued requests that satisfy [predicate]; linear in the size. */
    public fun filter(predicate: (QueuedRequest) -> Boolean): List<QueuedRequest> = byId.values.filter(predicate)
}
