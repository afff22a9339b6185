package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.Acknowledge
import org.guavahatch.protocol.message.Attach
import org.guavahatch.protocol.message.Cancel
import org.guavahatch.protocol.message.Declined
import org.guavahatch.protocol.message.Digest
import org.guavahatch.protocol.message.Forgotten
import org.guavahatch.protocol.message.Grant
import org.guavahatch.protocol.message.GrantRefused
import org.guavahatch.protocol.message.Leaving
import org.guavahatch.protocol.message.Offer
import org.guavahatch.protocol.message.OfferRefused
import org.guavahatch.protocol.message.Ready
import org.guavahatch.protocol.message.RefusalReason
import org.guavahatch.protocol.message.RequestMessage
import org.guavahatch.protocol.message.Straggling
import org.guavahatch.protocol.message.Withdraw
import org.guavahatch.scheduling.estimate.ThroughputMeter
import org.guavahatch.scheduling.queue.QueuedRequest
import org.guavahatch.scheduling.queue.TieredQueue

/**
 * Scheduling logic of a sidecar: decides which offered request gets capacity at the endpoint next, and records what was
 * dispatched. A call is made only on a grant with a matching reservation, so each attempt is dispatched at most once.
 *
 * Performs no input or output itself but returns the effects that the embedding process has to perform. Not
 * thread-safe.
 *
 * @property endpoint identifier of the endpoint
 * @property pool name of the endpoint's pool
 * @property incarnation incarnation of the sidecar
 */
public class EndpointScheduler(
    public val endpoint: EndpointId,
    public val pool: String,
    public val incarnation: Incarnation,
    private var limits: EndpointLimits,
    private val settings: EndpointSchedulerSettings = EndpointSchedulerSettings(),
) {
    private class QueuedOffer(
        val entry: Incarnation,
        val offer: Offer,
        val queued: QueuedRequest,
        val queuedAtMilliseconds: Long,
    )

    private val queue = TieredQueue()
    private val offers = HashMap<RequestId, QueuedOffer>()
    private val running = RunningRequests()
    private val ledger = ExecutionLedger(settings.ledgerRetentionMilliseconds)
    private val throughput = ThroughputMeter(settings.initialCostPerSecond)
    private val stragglerDetector = StragglerDetector(settings.straggler)
    private var hasAnnouncedStraggling = false
    private var isLeaving = false
    private var isDrained = false

    /** Whether new offers are accepted. */
    public val isAccepting: Boolean get() = !isLeaving && !isDrained

    /** Whether the endpoint is much slower than its own average. */
    public val isStraggling: Boolean get() = stragglerDetector.speedState == SpeedState.STRAGGLING

    /** Number of requests that are reserved or running. */
    public val runningRequests: Int get() = running.size

    /** Number of offers that wait for capacity. */
    public val queuedOffers: Int get() = queue.size

    /** Applies new limits from the configuration. */
    public fun onLimits(newLimits: EndpointLimits, nowMilliseconds: Long): List<EndpointEffect> {
        limits = newLimits
        return reserve(nowMilliseconds)
    }

    /** Handles a message from the entry instance [entry]. Messages of other types are ignored. */
    public fun onMessage(entry: Incarnation, message: RequestMessage, nowMilliseconds: Long): List<EndpointEffect> =
        when (message) {
            is Offer -> onOffer(entry, message, nowMilliseconds)
            is Withdraw -> onWithdraw(entry, message.requestId, nowMilliseconds)
            is Declined -> onWithdraw(entry, message.requestId, nowMilliseconds)
            is Grant -> onGrant(entry, message, nowMilliseconds)
            is Cancel -> onCancel(message.requestId, nowMilliseconds)
            is Attach -> onAttach(entry, message, nowMilliseconds)
            is Acknowledge -> if (message.isFinal) listOf(EndpointEffect.Release(message.requestId)) else emptyList()
            else -> emptyList()
        }

    private fun onOffer(entry: Incarnation, offer: Offer, nowMilliseconds: Long): List<EndpointEffect> {
        val requestId = offer.requestId
        val refusal = when {
            !isAccepting -> RefusalReason.LEAVING
            queue.size >= settings.maximumQueuedOffers -> RefusalReason.QUEUE_FULL
            else -> null
        }
        if (refusal != null) return listOf(EndpointEffect.Send(entry, OfferRefused(requestId, refusal)))
        if (requestId in running) return emptyList()
        val deadline = nowMilliseconds + offer.remainingMilliseconds
        val queued = QueuedRequest(requestId, offer.rank, offer.account, offer.share, offer.cost, deadline)
        offers[requestId] = QueuedOffer(entry, offer, queued, nowMilliseconds)
        queue.add(queued)
        return reserve(nowMilliseconds)
    }

    private fun onWithdraw(entry: Incarnation, requestId: RequestId, nowMilliseconds: Long): List<EndpointEffect> {
        if (requestId.entry != entry) return emptyList()
        dropOffer(requestId)
        return dropReservation(requestId, nowMilliseconds)
    }

    private fun dropOffer(requestId: RequestId) {
        queue.remove(requestId)
        offers.remove(requestId)
    }

    private fun dropReservation(requestId: RequestId, nowMilliseconds: Long): List<EndpointEffect> {
        val reserved = running[requestId] ?: return emptyList()
        if (reserved.isGranted) return emptyList()
        running.remove(requestId)
        return reserve(nowMilliseconds)
    }

    private fun onGrant(entry: Incarnation, grant: Grant, nowMilliseconds: Long): List<EndpointEffect> {
        val reserved = running[grant.requestId]
        val hasMatchingReservation = reserved != null &&
            !reserved.isGranted &&
            reserved.entry == entry &&
            reserved.offer.attempt == grant.attempt
        return when {
            grant.sidecar != incarnation -> emptyList()
            reserved != null && hasMatchingReservation && isAccepting -> dispatch(reserved, grant, nowMilliseconds)
            ledger.wasDispatched(grant.requestId, grant.attempt) != false -> emptyList()
            else -> refuseGrant(entry, grant.requestId, grant.attempt, nowMilliseconds)
        }
    }

    private fun dispatch(reserved: RunningRequest, grant: Grant, nowMilliseconds: Long): List<EndpointEffect> {
        if (!ledger.recordDispatch(grant.requestId, grant.attempt)) return emptyList()
        reserved.isGranted = true
        val deadline = nowMilliseconds + grant.remainingMilliseconds
        return listOf(EndpointEffect.Execute(reserved.entry, grant, deadline))
    }

    private fun refuseGrant(
        entry: Incarnation,
        requestId: RequestId,
        attempt: Int,
        nowMilliseconds: Long,
    ): List<EndpointEffect> {
        val reason = if (isAccepting) RefusalReason.NO_RESERVATION else RefusalReason.LEAVING
        dropOffer(requestId)
        return dropReservation(requestId, nowMilliseconds) +
            EndpointEffect.Send(entry, GrantRefused(requestId, attempt, reason))
    }

    private fun onCancel(requestId: RequestId, nowMilliseconds: Long): List<EndpointEffect> {
        dropOffer(requestId)
        val request = running[requestId] ?: return emptyList()
        if (!request.isGranted) return dropReservation(requestId, nowMilliseconds)
        return stop(request, StopReason.CANCELLED)
    }

    private fun stop(request: RunningRequest, reason: StopReason): List<EndpointEffect> {
        if (request.isStopping) return emptyList()
        request.isStopping = true
        return listOf(EndpointEffect.Stop(request.offer.requestId, reason))
    }

    private fun onAttach(entry: Incarnation, attach: Attach, nowMilliseconds: Long): List<EndpointEffect> {
        running[attach.requestId]?.orphanedAtMilliseconds = null
        return when (ledger.wasDispatched(attach.requestId, attach.attempt)) {
            true -> listOf(EndpointEffect.Replay(attach.requestId, attach.attempt, attach.offset, attach.hasHead))
            false -> refuseGrant(entry, attach.requestId, attach.attempt, nowMilliseconds)
            null -> listOf(EndpointEffect.Send(entry, Forgotten(attach.requestId, attach.attempt)))
        }
    }

    /** Records that [tokens] further output tokens of a running request were generated. */
    public fun onProgress(requestId: RequestId, tokens: Int, nowMilliseconds: Long): List<EndpointEffect> {
        val request = running[requestId] ?: return emptyList()
        addCompletedWork(request, tokens.toDouble())
        if (request.hasFirstToken) {
            stragglerDetector.onTokenGap(
                nowMilliseconds - request.lastTokenAtMilliseconds,
                nowMilliseconds,
            )
        }
        request.lastTokenAtMilliseconds = nowMilliseconds
        if (request.hasFirstToken) return emptyList()
        request.hasFirstToken = true
        addCompletedWork(request, request.offer.promptCost)
        return reserve(nowMilliseconds)
    }

    private fun addCompletedWork(request: RunningRequest, cost: Double) {
        request.completedCost += cost
        throughput.add(cost)
    }

    /**
     * Records the end of the call of a request, whether it succeeded, failed or was stopped.
     *
     * @param wasDispatched false only if it is certain that the endpoint received no part of the request
     */
    public fun onExecutionEnded(
        requestId: RequestId,
        wasDispatched: Boolean,
        nowMilliseconds: Long,
    ): List<EndpointEffect> {
        val request = running.remove(requestId) ?: return emptyList()
        // A call without output tokens reports no progress, so its whole cost counts at its end.
        if (wasDispatched && !request.hasFirstToken) throughput.add(request.offer.cost)
        ledger.recordEnd(requestId, nowMilliseconds)
        throughput.setBusy(running.size > 0, nowMilliseconds)
        val refusal = GrantRefused(requestId, request.offer.attempt, RefusalReason.ENDPOINT_UNREACHABLE)
        val refusals = if (wasDispatched) emptyList() else listOf(EndpointEffect.Send(request.entry, refusal))
        return refusals + reserve(nowMilliseconds)
    }

    /** Handles the loss of the connection to [entry]: drops its offers and reservations, keeps its running requests. */
    public fun onEntryLost(entry: Incarnation, nowMilliseconds: Long): List<EndpointEffect> {
        offers.filterValues { it.entry == entry }.keys.forEach(::dropOffer)
        val affected = running.all.filter { it.entry == entry }
        affected.filterNot { it.isGranted }.forEach { running.remove(it.offer.requestId) }
        affected.filter { it.isGranted }.forEach { it.orphanedAtMilliseconds = nowMilliseconds }
        return reserve(nowMilliseconds)
    }

    /**
     * Starts the shutdown of the sidecar: offers and later grants are refused, requests already granted keep running.
     */
    public fun onShutdown(): List<EndpointEffect> {
        val entries = offers.values.map { it.entry }.toSet() + running.all.map { it.entry }
        isLeaving = true
        return refuseAllOffers() + entries.map { EndpointEffect.Send(it, Leaving) }
    }

    /** Starts or ends a drain of the endpoint. */
    public fun onDrain(isInForce: Boolean, nowMilliseconds: Long): List<EndpointEffect> {
        if (isDrained == isInForce) return emptyList()
        isDrained = isInForce
        return if (isInForce) refuseAllOffers() else reserve(nowMilliseconds)
    }

    private fun refuseAllOffers(): List<EndpointEffect> {
        val refusals = offers.values.map {
            EndpointEffect.Send(it.entry, OfferRefused(it.offer.requestId, RefusalReason.LEAVING))
        }
        offers.keys.toList().forEach(::dropOffer)
        return refusals
    }

    /**
     * Expires reservations and offers, stops orphaned requests, preempts requests of lower tiers and reserves free
     * capacity. To be called every 20 ms.
     */
    public fun onTick(nowMilliseconds: Long): List<EndpointEffect> {
        throughput.setBusy(running.size > 0, nowMilliseconds)
        ledger.prune(nowMilliseconds) { it in running }
        val longestWait = running.all.filter { it.hasFirstToken && !it.isStopping }
            .maxOfOrNull { nowMilliseconds - it.lastTokenAtMilliseconds }
        stragglerDetector.onTick(longestWait, nowMilliseconds)
        return announceStraggling() +
            expireReservations(nowMilliseconds) +
            expireOffers(nowMilliseconds) +
            stopOrphans(nowMilliseconds) +
            preempt(nowMilliseconds) +
            reserve(nowMilliseconds)
    }

    private fun announceStraggling(): List<EndpointEffect> {
        if (hasAnnouncedStraggling == isStraggling) return emptyList()
        hasAnnouncedStraggling = isStraggling
        return listOf(EndpointEffect.Broadcast(Straggling(isStraggling)))
    }

    private fun expireReservations(nowMilliseconds: Long): List<EndpointEffect> = running.all
        .filter {
            !it.isGranted &&
                it.reservedAtMilliseconds + settings.reservationTimeoutMilliseconds <= nowMilliseconds
        }
        .map { expired ->
            running.remove(expired.offer.requestId)
            EndpointEffect.Send(
                expired.entry,
                OfferRefused(expired.offer.requestId, RefusalReason.NO_RESERVATION),
            )
        }

    private fun expireOffers(nowMilliseconds: Long): List<EndpointEffect> {
        offers.filterValues { it.queued.deadlineMilliseconds <= nowMilliseconds }.keys.forEach(::dropOffer)
        return emptyList()
    }

    private fun stopOrphans(nowMilliseconds: Long): List<EndpointEffect> =
        running.all.filter { isOrphan(it, nowMilliseconds) }.flatMap { stop(it, StopReason.CANCELLED) }

    private fun isOrphan(request: RunningRequest, nowMilliseconds: Long): Boolean {
        val since = request.orphanedAtMilliseconds ?: return false
        return request.isGranted && since + settings.orphanTimeoutMilliseconds <= nowMilliseconds
    }

    private fun preempt(nowMilliseconds: Long): List<EndpointEffect> {
        val waiting = queue.first()?.let { offers[it.requestId] } ?: return emptyList()
        if (running.hasCapacityFor(waiting.offer, limits) || running.all.any { it.isStopping }) return emptyList()
        val delay = (settings.preemptionDelayShare * waiting.offer.remainingMilliseconds).toLong()
        if (nowMilliseconds - waiting.queuedAtMilliseconds < delay) return emptyList()
        val victim = running.all
            .filter { it.isPreemptible && it.offer.rank > waiting.offer.rank }
            .maxWithOrNull(compareBy({ it.offer.rank }, { it.reservedAtMilliseconds }))
            ?: return emptyList()
        return stop(victim, StopReason.PREEMPTED)
    }

    private fun reserve(nowMilliseconds: Long): List<EndpointEffect> {
        val effects = mutableListOf<EndpointEffect>()
        while (true) {
            val first = queue.first()?.let { offers[it.requestId] } ?: return effects
            if (!isFeasible(first, nowMilliseconds)) {
                dropOffer(first.offer.requestId)
                effects += refusal(first, RefusalReason.INFEASIBLE)
                continue
            }
            if (stragglerDetector.speedState != SpeedState.NORMAL && running.size > 0) return effects
            if (!running.hasCapacityFor(first.offer, limits)) return effects
            dropOffer(first.offer.requestId)
            queue.charge(first.queued)
            throughput.setBusy(true, nowMilliseconds)
            running.add(RunningRequest(first.entry, first.offer, first.queued.deadlineMilliseconds, nowMilliseconds))
            effects += EndpointEffect.Send(first.entry, Ready(first.offer.requestId))
        }
    }

    private fun refusal(offer: QueuedOffer, reason: RefusalReason): EndpointEffect =
        EndpointEffect.Send(offer.entry, OfferRefused(offer.offer.requestId, reason))

    /**
     * Whether the request can probably finish before its deadline. An idle endpoint accepts every offer, so that a
     * wrong estimate of its throughput is corrected by measurement.
     */
    private fun isFeasible(offer: QueuedOffer, nowMilliseconds: Long): Boolean {
        if (running.size == 0) return true
        val expected = MILLISECONDS_PER_SECOND * offer.offer.cost / throughput.costPerSecond
        return nowMilliseconds + settings.feasibilityFactor * expected < offer.queued.deadlineMilliseconds
    }

    /** Summary of the state of the endpoint for entry instances. */
    public fun digest(): Digest = Digest(
        endpoint = endpoint,
        pool = pool,
        isAccepting = isAccepting,
        runningRequests = running.size,
        runningCost = running.remainingCost,
        queued = queue.summary(),
        lowestRunningRank = running.lowestRank,
        costPerSecond = throughput.costPerSecond,
    )

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000.0
    }
}
