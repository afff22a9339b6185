package org.guavahatch.scheduling.memory

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * Keeps one endpoint of a pool free of other work for a request that is larger than the usable memory of an engine.
 *
 * Such a request is sent only to an empty endpoint, and under load no endpoint is ever empty. After it has waited for a
 * quarter of the time until its latest useful send, the endpoint that holds the fewest tokens takes no other work until
 * the request is sent or gone. Peers learn of the reservation from the reports and send nothing there. At most one
 * endpoint of the pool is reserved: a gateway does not reserve while it hears of a reservation, and of two that reserve
 * at the same time the one with the lower name goes on. A reservation of a gateway that is silent ends.
 *
 * @property pool name of the endpoint pool
 * @property gateway name of this gateway
 * @property peers reports of the other gateways
 * @property capacityTokens returns the tokens that one engine of the pool can hold, or null without a limit
 */
public class OversizedReservation(
    private val pool: String,
    private val gateway: String,
    private val peers: PeerTable,
    private val capacityTokens: () -> Long?,
) {
    private var reservedByPeers = emptyMap<String, EndpointId>()

    /** Whether requests may be too large, or an endpoint is still reserved, so that [update] is to be called. */
    public val isNeeded: Boolean get() = capacityTokens() != null || request != null

    /** The request that the endpoint is kept free for, or null. */
    public var request: WaitingRequest? = null
        private set

    /** The endpoint that this gateway keeps free, or null. */
    public var endpoint: EndpointId? = null
        private set

    /**
     * Reserves one of [endpoints] at [now] if one of the [waiting] requests needs it, or ends the reservation.
     *
     * @return whether this gateway has begun a reservation
     */
    public fun update(waiting: Collection<WaitingRequest>, endpoints: Collection<EndpointState>, now: Long): Boolean {
        reservedByPeers = peers.freshReports().mapNotNull { it.reserved[pool]?.let { id -> it.name to id } }.toMap()
        val memory = capacityTokens()?.let(::EngineMemory)
        val isWaiting = memory != null && request in waiting
        if (!isWaiting || isReservedBefore() || !isUsable(endpoints, now)) clear()
        if (memory == null || request != null || reservedByPeers.isNotEmpty()) return false
        val next = waiting.filter { memory.isOversized(it) && hasWaited(it, now) }
            .minWithOrNull(compareBy({ it.order }, { it.arrivedAt })) ?: return false
        val emptied = endpointFor(next, waiting, endpoints.filter { it.isUsableAt(now) }) ?: return false
        request = next
        endpoint = emptied.listed.id
        return true
    }

    /** The one of the [usable] endpoints to keep free; the only one is not kept from requests of a higher order. */
    private fun endpointFor(
        next: WaitingRequest,
        waiting: Collection<WaitingRequest>,
        usable: List<EndpointState>,
    ): EndpointState? {
        if (usable.size == 1 && waiting.any { it.order < next.order }) return null
        return usable.minWithOrNull(compareBy({ it.ownTokens + it.peerTokens }, { it.listed.id.value }))
    }

    /** Whether [candidate] may be sent to [endpoint], as far as reservations are concerned. */
    public fun admits(candidate: WaitingRequest, endpoint: EndpointState): Boolean {
        val id = endpoint.listed.id
        return if (id == this.endpoint) candidate == request else id !in reservedByPeers.values
    }

    /** The reserved endpoint among [endpoints] if it is empty at [now], so that [request] is to be sent there. */
    public fun emptyEndpoint(endpoints: Collection<EndpointState>, now: Long): EndpointState? =
        endpoints.firstOrNull { it.listed.id == endpoint && it.isUsableAt(now) && it.requestsAt(now) == 0 }

    private fun isReservedBefore() = reservedByPeers.keys.any { it < gateway }

    private fun isUsable(endpoints: Collection<EndpointState>, now: Long) = endpoints.any {
        it.listed.id == endpoint && !it.isClosed && it.suspendedUntil <= now && it.pausedUntil <= now
    }

    private fun hasWaited(request: WaitingRequest, now: Long) =
        now - request.arrivedAt >= (request.latestSendAt - request.arrivedAt) / WAIT_DIVISOR

    private fun clear() {
        request = null
        endpoint = null
    }

    private companion object {
        /** Leaves most of the time to the requests that the endpoint still holds. */
        const val WAIT_DIVISOR = 4
    }
}
