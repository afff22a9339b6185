package org.guavahatch.gateway.request

import org.guavahatch.scheduling.direct.EndpointChooser
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.OrderTurns
import org.guavahatch.scheduling.direct.PriorityReserve
import org.guavahatch.scheduling.direct.RequestQueue
import org.guavahatch.scheduling.direct.WaitingRequest
import org.guavahatch.scheduling.memory.OversizedReservation
import org.guavahatch.scheduling.zone.ZoneChoice
import org.guavahatch.scheduling.zone.ZoneRouting

/**
 * Chooses the waiting request of a pool that is sent next, and its endpoint.
 *
 * Rollouts limit the endpoints, zone-aware routing limits them further, and the chooser takes one of those that are
 * left.
 *
 * @property zones null if requests go to any zone
 * @property turns dispatches of lower orders, or null if they have no part of their own
 * @property reservation keeps an endpoint free for a large request, or null if requests are never too large
 * @property routeOf name of the route of a waiting request
 * @property isSendable whether a waiting request may be sent at a time
 */
internal class DispatchChoice(
    private val queue: RequestQueue,
    private val chooser: EndpointChooser,
    private val reserve: PriorityReserve,
    private val zones: ZoneRouting?,
    private val turns: OrderTurns?,
    private val reservation: OversizedReservation?,
    private val routeOf: (WaitingRequest) -> String,
    private val isSendable: (WaitingRequest, Long) -> Boolean,
) {
    /**
     * Returns the request to send at [now] and its endpoint, or null if all requests should wait.
     *
     * @param free free slots of the pool
     * @param slots all slots of the pool
     */
    fun next(candidates: RolloutCandidates, free: Int, slots: Int, now: Long): ZoneChoice? {
        chooseReserved(candidates, now)?.let { return it }
        val sendable = queue.candidates(now).filter { isSendable(it, now) }
        chooseInTurn(sendable, candidates, now)?.let { return it }
        if (zones != null) return chooseByZone(zones, sendable, candidates, now)
        val allowed = sendable.takeWhile { reserve.mayUse(free, slots, it.order, queue.useOf(it)) }
        return choose(allowed, candidates, now) { it }
    }

    /** Sends a large request to the endpoint that was kept free for it. */
    private fun chooseReserved(candidates: RolloutCandidates, now: Long): ZoneChoice? {
        val request = reservation?.request?.takeIf { isSendable(it, now) } ?: return null
        return candidates.choose(request, routeOf(request), { null }) { reservation.emptyEndpoint(it, now) }
            ?.let { ZoneChoice(request, it, reason = null) }
    }

    /** Lets a lower order have its small part of the dispatches, in its own zone if zones are preferred. */
    private fun chooseInTurn(requests: List<WaitingRequest>, candidates: RolloutCandidates, now: Long): ZoneChoice? {
        val inTurn = turns?.candidatesInTurn(requests, now) ?: return null
        val choice = choose(inTurn, candidates, now) { zones?.ownEndpoints(it) ?: it } ?: return null
        turns.recordTurn(choice.request.order)
        return choice
    }

    private fun choose(
        requests: List<WaitingRequest>,
        candidates: RolloutCandidates,
        now: Long,
        limit: (Collection<EndpointState>) -> Collection<EndpointState>,
    ): ZoneChoice? = requests.firstNotNullOfOrNull { request ->
        val choose = anyZone(request, now)
        candidates.choose(request, routeOf(request), choose) { choose(limit(it)) }
    }

    private fun anyZone(request: WaitingRequest, now: Long) = { endpoints: Collection<EndpointState> ->
        chooser.choose(request, endpoints, now)?.let { ZoneChoice(request, it, reason = null) }
    }

    /**
     * A late request may leave its zone at once, so it is tried even behind the first few that are on time. A version
     * under test may have endpoints in a few zones only, so requests that it is due for go to any zone.
     */
    private fun chooseByZone(
        zones: ZoneRouting,
        requests: List<WaitingRequest>,
        candidates: RolloutCandidates,
        now: Long,
    ): ZoneChoice? {
        val late = queue.firstLate(now)?.takeIf { it !in requests && isSendable(it, now) }
        val tried = requests + listOfNotNull(late)
        if (!candidates.isLimited) return zones.choose(tried, candidates.all, now)
        return tried.firstNotNullOfOrNull { request ->
            candidates.choose(request, routeOf(request), anyZone(request, now)) {
                zones.choose(listOf(request), it, now)
            }
        }
    }
}
