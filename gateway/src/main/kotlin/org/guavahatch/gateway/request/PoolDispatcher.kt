package org.guavahatch.gateway.request

import io.netty.channel.EventLoop
import org.guavahatch.gateway.control.RolloutControl
import org.guavahatch.gateway.endpoint.EndpointConnector
import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.direct.AccountShares
import org.guavahatch.scheduling.direct.EndpointChooser
import org.guavahatch.scheduling.direct.EndpointLoad
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.FairWaitingQueue
import org.guavahatch.scheduling.direct.PeerLoads
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.PlannedStop
import org.guavahatch.scheduling.direct.PoolReturns
import org.guavahatch.scheduling.direct.PriorityReserve
import org.guavahatch.scheduling.direct.QueueForecast
import org.guavahatch.scheduling.direct.RetryAllowance
import org.guavahatch.scheduling.direct.SlotShares
import org.guavahatch.scheduling.direct.TokenCost
import org.guavahatch.scheduling.direct.WaitingQueue
import org.guavahatch.scheduling.direct.WaitingReport
import org.guavahatch.scheduling.direct.WaitingRequest
import org.guavahatch.scheduling.memory.OversizedReservation
import org.guavahatch.scheduling.zone.ZoneChoice
import org.guavahatch.scheduling.zone.ZoneRouting
import org.guavahatch.scheduling.zone.ZoneWaitLimit
import java.util.concurrent.TimeUnit

/**
 * Queues the requests of one endpoint pool and dispatches them to its endpoints.
 *
 * @param preferredZone zone whose endpoints are preferred, or null if requests go to any zone
 * @param waitLimit limits the wait for the preferred zone
 */
class PoolDispatcher(
    val name: String,
    private val loop: EventLoop,
    private val clock: Clock,
    private val chooser: EndpointChooser,
    shares: SlotShares,
    private val allowance: RetryAllowance,
    private val peers: PeerTable,
    private val connector: EndpointConnector,
    private val stop: PlannedStop,
    preferredZone: String? = null,
    waitLimit: ZoneWaitLimit = ZoneWaitLimit(),
    private val accounts: AccountShares? = null,
    private val returns: PoolReturns? = null,
    private val reservation: OversizedReservation? = null,
) {
    private val cost = TokenCost()
    private val queue = accounts?.let { FairWaitingQueue(it, cost) } ?: WaitingQueue()
    private val forecast = QueueForecast()
    private val overload = OverloadControl(name, peers, forecast, returns)
    private val reserve = PriorityReserve(name, peers, clock)
    private val zones = preferredZone?.let { ZoneRouting(name, it, peers, chooser, shares, reserve, waitLimit) }
    private val choice =
        DispatchChoice(queue, chooser, reserve, zones, returns?.turns, reservation, ::routeOf, ::isSendable)
    private val peerLoads = PeerLoads(peers)
    private val open = LinkedHashSet<ActiveRequest>()
    private val activeRequests = HashMap<Long, ActiveRequest>()
    private val endpoints = LinkedHashMap<EndpointId, EndpointState>()
    private val division = SlotDivision(name, endpoints.values, queue, peers, shares, zones)
    private var isDispatching = false
    private var isRecheckScheduled = false
    private var reportsAppliedAt = 0L

    /** Forecasts from recent answers. */
    val forecasts: PoolForecasts = PoolForecasts()

    /** Rollouts, which limit the sends to some endpoints; null if there are none. */
    var rollouts: RolloutControl? = null

    /** Called with a request and the endpoint that is kept free for it from now on. */
    var onReserved: (WaitingRequest, EndpointId) -> Unit = { _, _ -> }

    /** The endpoint that is kept free for a large request, or null. */
    val reservedEndpoint: EndpointId? get() = reservation?.endpoint

    /** Called when the load of an endpoint or the queue has changed. */
    var onChange: () -> Unit = {}

    /** Planned returns of rejected callers, or null if returns are not planned. */
    val plannedReturns: Map<Int, List<Int>>? get() = returns?.plan?.report

    /** Number of waiting requests. */
    val waitingRequests: Int get() = queue.size

    /**
     * The highest rank that waits and the number of its requests that lack a slot, or null if nothing waits. The number
     * is 0 while slots are free, as the requests then wait for an engine that can prefill them.
     */
    val highestRankWaiting: WaitingReport?
        get() = if (zones != null) {
            zones.report(queue, endpoints.values, clock.monotonicMilliseconds())
        } else {
            queue.highestPriority?.let { if (freeSlots > 0) it.withoutRequests() else it }
        }

    /** Number of submitted requests that have not ended. */
    val openRequests: Int get() = open.size

    /** Whether nothing waits and at least a quarter of the slots is free. */
    val hasSpareCapacity: Boolean get() = queue.size == 0 && freeSlots * SPARE_CAPACITY_DIVISOR >= slots

    private val freeSlots: Int get() {
        val now = clock.monotonicMilliseconds()
        return candidates().serving.filter { !it.isClosed }.sumOf { it.freeSlotsAt(now) }
    }

    private val slots: Int get() = candidates().serving.filter { !it.isClosed }.sumOf { it.listed.slots }

    private fun candidates() = RolloutCandidates(rollouts?.find(name), endpoints.values)

    /** Counts [active] as a new request and queues it. */
    fun submit(active: ActiveRequest) {
        open.add(active)
        allowance.recordRequest()
        reserve.recordArrival(active.plan.waiting.order)
        returns?.recordArrival(active.plan.waiting.order)
        enqueue(active)
    }

    /** Queues [active] until an endpoint can take it. */
    fun enqueue(active: ActiveRequest) {
        activeRequests[active.plan.waiting.sequence] = active
        queue.add(active.plan.waiting)
        division.onQueued(active.plan.waiting.order, clock.monotonicMilliseconds())
        dispatchWaiting()
    }

    /** Removes [active] from the queue. */
    fun remove(active: ActiveRequest) {
        if (queue.remove(active.plan.waiting)) activeRequests.remove(active.plan.waiting.sequence)
    }

    /** Notes that [active] has ended. */
    fun onEnded(active: ActiveRequest) {
        remove(active)
        open.remove(active)
    }

    /** Records that [plan] was answered with [bytes] of body [milliseconds] after its send. */
    fun recordAnswer(plan: RequestPlan, milliseconds: Long, bytes: Long) {
        forecasts.recordAnswer(plan, milliseconds, bytes)
        returns?.recordService(plan.waiting.order, milliseconds)
    }

    /** Milliseconds after which the caller of the rejected [request] should return, or null without planned returns. */
    fun planReturn(request: WaitingRequest): Long? = overload.plannedReturn(request, queue.size, slots)

    /** As [planReturn], for the [request] of a caller whose request is not queued; made only if returns are planned. */
    fun planReturnOfRefused(request: () -> WaitingRequest): Long? = returns?.let {
        val refused = request()
        it.recordArrival(refused.order)
        planReturn(refused)
    }

    /** Applies the planned returns that [peer] reports. */
    fun recordPeerReturns(peer: String, planned: Map<Int, List<Int>>) {
        returns?.plan?.recordPeer(peer, planned)
    }

    /** Ends all requests, because the process stops. */
    fun endAll() = open.toList().forEach { it.endForStop() }

    /** Ends the requests that are in quarantine now. */
    fun endQuarantined() = open.toList().forEach { it.endIfQuarantined() }

    /** Called when an endpoint has freed capacity. */
    fun onCapacityFreed() {
        overload.noteRelease(queue)
        onChange()
        dispatchWaiting()
    }

    /** Takes one retry from this gateway's share of the allowance; false if none is left. */
    fun acquireRetry(): Boolean = allowance.take(peers.gatewayCount)

    /** Adds or updates the endpoint [listed]. */
    fun update(listed: ListedEndpoint) {
        val existing = endpoints[listed.id]
        val isSameProcess = existing != null &&
            existing.listed.incarnation == listed.incarnation &&
            existing.listed.address == listed.address
        val state = if (isSameProcess) existing!! else newState(listed)
        state.listed = listed
        endpoints[listed.id] = state
        dispatchWaiting()
    }

    private fun newState(listed: ListedEndpoint) =
        EndpointState(listed).also { division.onEndpointAdded(it, clock.monotonicMilliseconds()) }

    /** Removes endpoint [id]; no further request is sent to it. */
    fun remove(id: EndpointId) {
        val state = endpoints.remove(id) ?: return
        state.isRemoved = true
        connector.closeIdle(state.listed.address)
    }

    /** Applies the load that peers reported and divides the slots again, each at a limited rate, then dispatches. */
    fun onPeerReports() {
        val now = clock.monotonicMilliseconds()
        if (now - reportsAppliedAt >= RECHECK_MILLISECONDS) {
            peerLoads.apply(endpoints.values)
            updateReservation(now)
            if (accounts != null) cost.measure(endpoints.values, now)
            reportsAppliedAt = now
        }
        division.divideIfDue(now)
        dispatchWaiting()
    }

    private fun updateReservation(now: Long) {
        val reservation = reservation?.takeIf { it.isNeeded } ?: return
        val serving = candidates().serving
        val endpoints = zones?.ownEndpoints(serving) ?: serving
        if (!reservation.update(queue.inDispatchOrder(now), endpoints, now)) return
        onReserved(checkNotNull(reservation.request), checkNotNull(reservation.endpoint))
        onChange()
    }

    /** Adds this gateway's own load on each endpoint to [load]. */
    fun collectLoad(load: MutableMap<String, EndpointLoad>) {
        endpoints.values.filter { it.ownRequests > 0 }.forEach {
            load[it.listed.id.value] = EndpointLoad(it.ownRequests, it.ownPrefillTokens, it.ownTokens)
        }
    }

    private fun dispatchWaiting() {
        if (isDispatching) return
        isDispatching = true
        try {
            while (dispatchNext()) onChange()
        } finally {
            isDispatching = false
        }
        if (queue.size > 0) scheduleRecheck()
    }

    /** Sends the first queued request that an endpoint can take; false if there is none. */
    private fun dispatchNext(): Boolean {
        val now = clock.monotonicMilliseconds()
        val candidates = candidates()
        val free = candidates.serving.sumOf { if (it.isUsableAt(now)) it.freeSlotsAt(now) else 0 }
        if (queue.size == 0 || free == 0) return false
        send(choice.next(candidates, free, slots, now) ?: return false, now)
        return true
    }

    private fun routeOf(request: WaitingRequest) = activeRequests.getValue(request.sequence).plan.route.name

    private fun isSendable(request: WaitingRequest, now: Long) =
        activeRequests[request.sequence]?.let { maySend(it, now) } == true

    private fun maySend(active: ActiveRequest, now: Long) = active.maySendAt(now) && !isTooLateForStop(active, now)

    /** Whether [active] is not expected to end before a planned stop does. A response that has begun goes on. */
    private fun isTooLateForStop(active: ActiveRequest, now: Long): Boolean {
        if (!stop.isStopping || active.isContinuation) return false
        val route = active.plan.route
        val expected = forecasts.completionMilliseconds(route.name, active.plan.waiting)
        return !stop.allowsSendAt(now, expected ?: (route.timeoutMilliseconds / UNKNOWN_TIMEOUT_DIVISOR))
    }

    private fun send(choice: ZoneChoice, now: Long) {
        val request = choice.request
        queue.remove(request)
        // The use of an interrupted stream was counted when it was first sent.
        if (!request.hasAnswerBegun) {
            accounts?.recordSent(request.account, cost.of(request, request.units), request.units)
        }
        forecast.recordDispatch(now, hasMoreWaiting = queue.size > 0)
        returns?.turns?.recordDispatch(request.order, queue.waitingOrders, now)
        activeRequests.remove(request.sequence)?.dispatch(choice.endpoint, choice.reason)
    }

    private fun refuseWithdrawnKeys() = activeRequests.values.filter { it.isKeyWithdrawn }
        .forEach { it.refuse("key-withdrawn", OverloadControl.MINIMUM_RETRY_AFTER_MILLISECONDS) }

    private fun refuseTooLateForStop() {
        if (!stop.isStopping) return
        val now = clock.monotonicMilliseconds()
        activeRequests.values.filter { isTooLateForStop(it, now) }
            .forEach { it.refuse(ActiveRequest.STOPPING, OverloadControl.MINIMUM_RETRY_AFTER_MILLISECONDS) }
    }

    /** Refuses the requests that, with the queue as it is, would not be sent in time. */
    private fun shedLateRequests() {
        val now = clock.monotonicMilliseconds()
        val pause = pauseOfAllEndpoints(now)
        var ahead = 0
        val aheadByOrder = HashMap<Int, Int>()
        queue.inDispatchOrder(now).forEach { request ->
            val active = activeRequests[request.sequence]
            val aheadOfOrder = aheadByOrder.getOrDefault(request.order, 0)
            val isKept = active == null ||
                active.isContinuation ||
                overload.canServeInTime(request, ahead, aheadOfOrder, now)
            when {
                active?.isContinuation == false && pause > 0 && now + pause >= request.patienceEndsAt ->
                    active.refuse("endpoints-paused", overload.retryAfterWait(request, pause, now))
                isKept -> {
                    ahead++
                    aheadByOrder.merge(request.order, 1, Int::plus)
                }
                else -> active?.refuse("overload", overload.retryAfter(request, ahead, slots, now))
            }
        }
    }

    /** Milliseconds until the first endpoint accepts requests again, or 0 if one of them has not asked for a pause. */
    private fun pauseOfAllEndpoints(now: Long): Long =
        endpoints.values.filter { !it.isClosed }.minOfOrNull { maxOf(0, it.pausedUntil - now) } ?: 0

    /** Rechecks after a delay, since an endpoint becomes usable again some time after a suspension or a refusal. */
    private fun scheduleRecheck() {
        if (isRecheckScheduled) return
        isRecheckScheduled = true
        loop.schedule(
            {
                isRecheckScheduled = false
                refuseWithdrawnKeys()
                refuseTooLateForStop()
                overload.noteHeldBack(queue, slots, clock.monotonicMilliseconds())
                onPeerReports()
                shedLateRequests()
            },
            RECHECK_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
    }

    private companion object {
        const val RECHECK_MILLISECONDS = 20L
        const val SPARE_CAPACITY_DIVISOR = 4

        /** A request of a route without recent answers is assumed to take half of the route's timeout. */
        const val UNKNOWN_TIMEOUT_DIVISOR = 2
    }
}
