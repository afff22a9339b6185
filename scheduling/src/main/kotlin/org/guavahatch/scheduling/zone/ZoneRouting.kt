package org.guavahatch.scheduling.zone

import org.guavahatch.scheduling.direct.EndpointChooser
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.PauseObjective
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.PriorityReserve
import org.guavahatch.scheduling.direct.RequestQueue
import org.guavahatch.scheduling.direct.SlotShares
import org.guavahatch.scheduling.direct.WaitingReport
import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * Keeps requests in the zone of their gateway as long as its endpoints serve them within their objective.
 *
 * Traffic between zones is slower and is charged, yet the endpoints of a zone are sometimes too few. A request leaves
 * its zone if that has no usable endpoint, if it is full and the request has waited as long as its bytes are worth, or
 * if all its free endpoints are too slow for the objective or make its stream pause for too long. It then uses only
 * slots that the other zone's callers do not need.
 *
 * @property pool name of the endpoint pool
 * @property zone zone of this gateway
 * @property peers reports of the other gateways
 * @property chooser chooses among the endpoints that a request may use
 * @property shares divides the free slots
 * @property reserve keeps slots for requests of higher priority
 * @property waitLimit limits the wait for the own zone
 */
public class ZoneRouting(
    private val pool: String,
    private val zone: String,
    private val peers: PeerTable,
    private val chooser: EndpointChooser,
    private val shares: SlotShares,
    private val reserve: PriorityReserve,
    private val waitLimit: ZoneWaitLimit = ZoneWaitLimit(),
) {
    private var demand: ZoneDemand? = null
    private var demandAt = 0L

    /** Returns the first of [requests] that may be sent at [now] to one of [endpoints], or null if all should wait. */
    public fun choose(requests: List<WaitingRequest>, endpoints: Collection<EndpointState>, now: Long): ZoneChoice? {
        if (requests.isEmpty()) return null
        val slots = ZoneSlots(endpoints, now)
        if (slots.free == 0) return null
        val isHomeless = isHomeless(endpoints, now)
        val demand = demand(endpoints, now)
        return requests.firstNotNullOfOrNull { request ->
            when {
                request.hasAnswerBegun -> chooseAnywhere(request, endpoints, slots, OtherZoneReason.INTERRUPTED, now)
                isHomeless -> chooseAnywhere(request, endpoints, slots, OtherZoneReason.NO_ENDPOINT, now)
                else -> choose(request, endpoints, slots, demand, now)
            }
        }
    }

    private fun chooseAnywhere(
        request: WaitingRequest,
        endpoints: Collection<EndpointState>,
        slots: ZoneSlots,
        reason: OtherZoneReason,
        now: Long,
    ): ZoneChoice? {
        if (!reserve.mayUse(slots.free, slots.all, request.order)) return null
        val endpoint = chooser.choose(request, endpoints, now) ?: return null
        return ZoneChoice(request, endpoint, reason.takeIf { !isHome(endpoint) })
    }

    private fun choose(
        request: WaitingRequest,
        endpoints: Collection<EndpointState>,
        slots: ZoneSlots,
        demand: ZoneDemand,
        now: Long,
    ): ZoneChoice? {
        val home = if (mayUseHome(request, slots, demand)) chooseHome(request, endpoints, now) else null
        val reason = reasonToLeave(request, home, endpoints, now)
        val other = reason?.let {
            chooser.choose(request, endpoints, now) { endpoint ->
                !isHome(endpoint) &&
                    hasSpareSlot(endpoint.listed.zone, request.order, slots, demand) &&
                    isWorthLeaving(it, request, endpoint, home, now)
            }
        }
        if (other != null) return ZoneChoice(request, other, reason)
        return home?.let { ZoneChoice(request, it, reason = null) }
    }

    /** The endpoint chosen at home, one that meets the objective if there is any. */
    private fun chooseHome(request: WaitingRequest, endpoints: Collection<EndpointState>, now: Long): EndpointState? {
        val chosen = chooser.choose(request, endpoints, now, ::isHome) ?: return null
        if (now >= request.objectiveEndsAt || meetsObjective(request, chosen, now)) return chosen
        return chooser.choose(request, endpoints, now) { isHome(it) && meetsObjective(request, it, now) } ?: chosen
    }

    private fun mayUseHome(request: WaitingRequest, slots: ZoneSlots, demand: ZoneDemand): Boolean {
        val reserved = reserve.reservedSlots(slots.all(zone), request.order, demand.gateways(zone))
        return demand.waitingBefore(request.order) + reserved < slots.free(zone) + slots.free(NO_ZONE)
    }

    private fun reasonToLeave(
        request: WaitingRequest,
        home: EndpointState?,
        endpoints: Collection<EndpointState>,
        now: Long,
    ): OtherZoneReason? = when {
        home == null && isHeldBack(request, endpoints, now) -> OtherZoneReason.PAUSES
        home == null -> OtherZoneReason.FULL.takeIf { waitLimit.isReached(request, now) }
        now >= request.objectiveEndsAt -> null
        !meetsObjective(request, home, now) -> OtherZoneReason.TOO_SLOW
        PauseObjective.isMissed(request, home) -> OtherZoneReason.PAUSES
        else -> null
    }

    /** Whether the zone has slots for [request] and none of its endpoints may prefill it now. */
    private fun isHeldBack(request: WaitingRequest, endpoints: Collection<EndpointState>, now: Long): Boolean {
        if (request.longestPauseMilliseconds == null) return false
        return PauseObjective.isHeldBack(request, endpoints.filter { isHome(it) && it.hasOwnSlotAt(now) }, now)
    }

    private fun isWorthLeaving(
        reason: OtherZoneReason,
        request: WaitingRequest,
        endpoint: EndpointState,
        home: EndpointState?,
        now: Long,
    ): Boolean = when (reason) {
        OtherZoneReason.TOO_SLOW -> isClearlyFaster(request, endpoint, checkNotNull(home), now)
        OtherZoneReason.PAUSES -> meetsObjective(request, endpoint, now) && PauseObjective.isMet(request, endpoint)
        else -> true
    }

    private fun meetsObjective(request: WaitingRequest, endpoint: EndpointState, now: Long): Boolean =
        now + expectedFirstEvent(request, endpoint) <= request.objectiveEndsAt

    private fun isClearlyFaster(request: WaitingRequest, endpoint: EndpointState, home: EndpointState, now: Long) =
        meetsObjective(request, endpoint, now) &&
            expectedFirstEvent(request, endpoint) <= expectedFirstEvent(request, home) * FASTER_SHARE

    /** Expected milliseconds from the send of [request] to its first event, 0 without a measurement. */
    private fun expectedFirstEvent(request: WaitingRequest, endpoint: EndpointState): Double {
        if (request.promptTokens == 0L) return endpoint.paceMilliseconds ?: 0.0
        val tokens = endpoint.prefillTokens + request.promptTokens + FIRST_TOKEN_OVERHEAD_TOKENS
        return tokens * (endpoint.prefillMillisecondsPerToken ?: 0.0)
    }

    private fun hasSpareSlot(zone: String, order: Int, slots: ZoneSlots, demand: ZoneDemand): Boolean =
        spareSlots(zone, order, slots, demand) > 0

    /** Free slots of another [zone] beyond what its own gateways need for requests of [order] and above. */
    private fun spareSlots(zone: String, order: Int, slots: ZoneSlots, demand: ZoneDemand): Int {
        if (demand.lacksSlots(zone, order)) return 0
        // The own callers of the zone come first at equal priority, too.
        val orderOfOwn = if (order == Int.MAX_VALUE) order else order + 1
        val reserved = reserve.reservedSlots(slots.all(zone), orderOfOwn, demand.gateways(zone))
        return slots.free(zone) - reserved - demand.waitingGateways(zone, order)
    }

    /**
     * Divides the slots of [endpoints] that are free at [now]: those of a zone among its gateways that have waiting
     * requests of the same or a higher priority than [order], and what these leave among the other gateways.
     */
    public fun divide(endpoints: Collection<EndpointState>, order: Int, now: Long) {
        val isHomeless = isHomeless(endpoints, now)
        val demand = demand(endpoints, now)
        val slots = ZoneSlots(endpoints, now)
        val silentShare = peers.silentCount.toDouble() / peers.gatewayCount
        endpoints.groupBy { it.listed.zone }.forEach { (zone, members) ->
            val isOwn = isHomeless || isOwn(zone)
            val zoneShares = if (isOwn) demand.competing(zone, order) + 1.0 else otherShares(zone, order, slots, demand)
            val silent = if (isOwn && !isHomeless) demand.silentShare(zone) else silentShare
            members.forEach { shares.assign(it, zoneShares, silent, now) }
        }
    }

    /** Number of equal shares of the free slots of another [zone]; infinite if none of them is spare. */
    private fun otherShares(zone: String, order: Int, slots: ZoneSlots, demand: ZoneDemand): Double {
        val spare = spareSlots(zone, order, slots, demand)
        if (spare <= 0) return Double.POSITIVE_INFINITY
        return demand.competingOutside(zone, order) * slots.free(zone).toDouble() / spare
    }

    /** The waiting requests of the highest priority in [queue], for the peers, or null if none waits. */
    public fun report(queue: RequestQueue, endpoints: Collection<EndpointState>, now: Long): WaitingReport? {
        val highest = queue.highestPriority ?: return null
        val hasFreeSlot = endpoints.any { isHome(it) && !it.isClosed && it.freeSlotsAt(now) > 0 }
        if (hasFreeSlot) return highest.withoutRequests().copy(leaving = 0)
        return highest.copy(
            leaving = queue.countOfHighestPriority(MAXIMUM_LEAVING) { waitLimit.isReached(it, now) },
        )
    }

    /** Those of [endpoints] that are in the zone of this gateway, or all if none is. */
    public fun ownEndpoints(endpoints: Collection<EndpointState>): Collection<EndpointState> =
        endpoints.filter(::isHome).ifEmpty { endpoints }

    private fun demand(endpoints: Collection<EndpointState>, now: Long): ZoneDemand {
        demand?.takeIf { now - demandAt < DEMAND_MILLISECONDS }?.let { return it }
        val servedZones = endpoints.filter { !it.isClosed }.mapTo(HashSet()) { it.listed.zone }
        return ZoneDemand(pool, zone, peers, servedZones).also {
            demand = it
            demandAt = now
        }
    }

    /** Whether the own zone has no usable endpoint; one that has refused a request because it is full is usable. */
    private fun isHomeless(endpoints: Collection<EndpointState>, now: Long): Boolean =
        endpoints.none { isHome(it) && !it.isClosed && it.suspendedUntil <= now && it.pausedUntil <= now }

    private fun isHome(endpoint: EndpointState) = isOwn(endpoint.listed.zone)

    private fun isOwn(zone: String) = zone == this.zone || zone == NO_ZONE

    private companion object {
        /** Zone of an endpoint that names none; it is at home everywhere. */
        const val NO_ZONE = ""

        /** Estimates of equal endpoints differ by less, so requests do not leave because of their noise. */
        const val FASTER_SHARE = 0.75

        /** Fixed work of a first token in prompt tokens: about 36 ms at an engine that prefills 40 tokens in 1 ms. */
        const val FIRST_TOKEN_OVERHEAD_TOKENS = 1_500L

        /** Short compared with the 40 ms between two reports of a gateway, long compared with a dispatch. */
        const val DEMAND_MILLISECONDS = 20L

        /** Limits the cost of a report; other zones rarely have more slots to leave to one gateway. */
        const val MAXIMUM_LEAVING = 64
    }
}
