package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.model.outcome.UnknownReason
import org.guavahatch.protocol.message.AnswerFailed
import org.guavahatch.protocol.message.Declined
import org.guavahatch.protocol.message.Digest
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.protocol.message.Forgotten
import org.guavahatch.protocol.message.GrantRefused
import org.guavahatch.protocol.message.Leaving
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.OfferRefused
import org.guavahatch.protocol.message.Ready
import org.guavahatch.protocol.message.RefusalReason
import org.guavahatch.protocol.message.Straggling
import org.guavahatch.scheduling.choice.EndpointChooser
import kotlin.random.Random

/**
 * Scheduling logic of an entry instance: decides which endpoints a request is offered to, which sidecar is granted it,
 * and which outcome is reported to the caller. A request is granted to one sidecar at a time. A further attempt is
 * granted only after proof that the previous one was not dispatched, or where the dispatch rule of the route allows a
 * retry.
 *
 * Performs no input or output itself but returns the effects that the embedding process has to perform. Not
 * thread-safe.
 *
 * @param chooser picks the endpoints of the first offers
 * @param deliveryStatus tells whether callers have received parts of their answers
 * @param random source of randomness for the chooser
 */
public class RequestDispatcher(
    chooser: EndpointChooser,
    deliveryStatus: DeliveryStatus,
    random: Random,
    private val settings: DispatcherSettings = DispatcherSettings(),
) {
    private val members = MemberTable()
    private val requests = RequestTable()
    private val offers = OfferTracker(members, chooser, random, settings.initialOffers)
    private val completion = RequestCompletion(members, requests, settings)
    private val attempts = AttemptStarter(members, requests, offers, completion, deliveryStatus, settings)

    /** Number of tracked requests, including those with an outcome already reported. */
    public val trackedRequests: Int get() = requests.size

    /** Number of tracked requests without a reported outcome. */
    public val unansweredRequests: Int get() = requests.all.count { !it.isConcluded }

    /** Endpoints of [pool] that requests can be offered to. */
    public fun acceptingEndpoints(pool: String): List<EndpointId> = members.accepting(pool).map { it.endpoint }

    /** Accepts a request, or concludes it at once if the entry instance is full. */
    public fun onSubmit(specification: RequestSpecification, nowMilliseconds: Long): List<DispatchEffect> {
        val request = TrackedRequest(specification)
        val displacement = displaceFor(specification.rank)
        requests.add(request)
        if (displacement == null) return completion.conclude(request, completion.notRun(NotRunReason.ENTRY_FULL))
        val claim = if (specification.needsClaim) listOf(DispatchEffect.Claim(request.requestId)) else emptyList()
        return displacement + claim + attempts.startWaiting(request, nowMilliseconds)
    }

    /**
     * Displaces a waiting request of a lower tier if the entry instance is full. Returns null if it is full and no
     * waiting request has a tier lower than [rank].
     */
    private fun displaceFor(rank: Int): List<DispatchEffect>? {
        if (requests.size < settings.maximumHeldRequests) return emptyList()
        val victim = requests.lastWaitingBelow(rank) ?: return null
        return offers.withdrawAll(victim) +
            completion.conclude(victim, completion.outcomeOfWaiting(victim, NotRunReason.ENTRY_FULL))
    }

    /** Handles a message from the sidecar of [endpoint]. Answer frames other than failures are ignored. */
    public fun onMessage(endpoint: EndpointId, message: Message, nowMilliseconds: Long): List<DispatchEffect> =
        when (message) {
            is Ready -> onReady(endpoint, message.requestId, nowMilliseconds)
            is OfferRefused -> onOfferRefused(endpoint, message, nowMilliseconds)
            is GrantRefused -> onGrantRefused(endpoint, message, nowMilliseconds)
            is AnswerFailed -> onAnswerFailed(endpoint, message, nowMilliseconds)
            is Forgotten -> onForgotten(endpoint, message)
            is Digest -> noEffect { members.onDigest(endpoint, message) }
            is Straggling -> onStraggling(endpoint, message.isStraggling, nowMilliseconds)
            is Leaving -> noEffect { members.onLeaving(endpoint) }
            else -> emptyList()
        }

    private fun noEffect(action: () -> Unit): List<DispatchEffect> {
        action()
        return emptyList()
    }

    private fun onReady(endpoint: EndpointId, requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        val request = requests[requestId]
        val member = members[endpoint]
        val mayRun = request != null &&
            member != null &&
            request.phase == RequestPhase.Waiting &&
            !request.isConcluded &&
            endpoint in request.offeredTo &&
            member.isAccepting &&
            !isExcluded(member) &&
            nowMilliseconds < request.specification.deadlineMilliseconds
        if (!mayRun) return decline(endpoint, requestId, nowMilliseconds)
        if (request.claimState == ClaimState.PENDING) {
            request.readyEndpoints.add(endpoint)
            return emptyList()
        }
        return grant(request, member, nowMilliseconds)
    }

    private fun decline(endpoint: EndpointId, requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        requests[requestId]?.let { closeOffer(it, endpoint, nowMilliseconds) }
        return listOf(DispatchEffect.Send(endpoint, Declined(requestId)))
    }

    /** Removes the offer that the sidecar has dropped; a waiting request is offered again after the reoffer delay. */
    private fun closeOffer(request: TrackedRequest, endpoint: EndpointId, nowMilliseconds: Long) {
        offers.close(request, endpoint)
        if (request.phase != RequestPhase.Waiting || request.isConcluded) return
        requests.scheduleOfferToAll(request, nowMilliseconds + settings.reofferDelayMilliseconds)
    }

    private fun isExcluded(member: Member) = member.isStraggling && members.excludesStragglers(member.pool)

    private fun grant(request: TrackedRequest, member: Member, nowMilliseconds: Long): List<DispatchEffect> {
        val sidecar =
            checkNotNull(member.incarnation) { "Endpoint ${member.endpoint} is accepting but has no incarnation." }
        offers.close(request, member.endpoint)
        val withdrawals = offers.withdrawAll(request)
        requests.stopWaiting(request)
        request.phase = RequestPhase.Granted(member.endpoint, sidecar)
        member.granted.add(request.requestId)
        offers.recordGrant(request, member)
        attempts.creditRetryBudget(request)
        val remaining = request.specification.deadlineMilliseconds - nowMilliseconds
        val grant =
            DispatchEffect.SendGrant(member.endpoint, sidecar, request.requestId, request.attempt, remaining)
        return listOf(grant) + withdrawals
    }

    private fun onOfferRefused(
        endpoint: EndpointId,
        refused: OfferRefused,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        if (refused.reason == RefusalReason.LEAVING) members.onLeaving(endpoint)
        val request = requests[refused.requestId] ?: return emptyList()
        closeOffer(request, endpoint, nowMilliseconds)
        return emptyList()
    }

    private fun onGrantRefused(
        endpoint: EndpointId,
        refused: GrantRefused,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        if (refused.reason == RefusalReason.LEAVING) members.onLeaving(endpoint)
        val request = findGranted(endpoint, refused.requestId, refused.attempt) ?: return emptyList()
        completion.endAttempt(request)
        if (request.isConcluded) return completion.endNotDispatched(request)
        return attempts.retry(request, nowMilliseconds)
    }

    private fun onAnswerFailed(
        endpoint: EndpointId,
        failed: AnswerFailed,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        val request = findGranted(endpoint, failed.requestId, failed.attempt) ?: return emptyList()
        completion.endAttempt(request)
        request.mayHaveRun = true
        return when {
            request.isConcluded -> listOf(completion.forget(request))
            attempts.tryAcquireRetry(request, failed.reason) -> attempts.retry(request, nowMilliseconds)
            else -> completion.conclude(request, Outcome.Unknown(UnknownReason.ENDPOINT_FAILED))
        }
    }

    private fun onForgotten(endpoint: EndpointId, forgotten: Forgotten): List<DispatchEffect> {
        val request = findGranted(endpoint, forgotten.requestId, forgotten.attempt) ?: return emptyList()
        completion.endAttempt(request)
        request.mayHaveRun = true
        if (request.isConcluded) return listOf(completion.forget(request))
        return completion.conclude(request, Outcome.Unknown(UnknownReason.SIDECAR_LOST))
    }

    private fun findGranted(endpoint: EndpointId, requestId: RequestId, attempt: Int): TrackedRequest? {
        val request = requests[requestId] ?: return null
        val granted = request.phase as? RequestPhase.Granted ?: return null
        return request.takeIf { granted.endpoint == endpoint && request.attempt == attempt }
    }

    /** Handles the arrival of the complete answer of [attempt]. */
    public fun onAnswerComplete(requestId: RequestId, attempt: Int): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        val granted = request.phase as? RequestPhase.Granted ?: return emptyList()
        if (request.attempt != attempt || findGranted(granted.endpoint, requestId, attempt) == null) return emptyList()
        completion.endAttempt(request)
        val record = if (request.specification.needsClaim) {
            listOf(DispatchEffect.RecordAnswer(requestId))
        } else {
            emptyList()
        }
        val end = if (request.isConcluded) {
            listOf(
                completion.forget(request),
            )
        } else {
            completion.conclude(request, Outcome.Answered)
        }
        return record + end
    }

    /** Handles inconsistent answer frames of [attempt] as a failure of the endpoint. */
    public fun onAnswerInconsistent(requestId: RequestId, attempt: Int, nowMilliseconds: Long): List<DispatchEffect> {
        val granted = requests[requestId]?.phase as? RequestPhase.Granted ?: return emptyList()
        val failure = AnswerFailed(requestId, attempt, FailureReason.CUT)
        return onAnswerFailed(granted.endpoint, failure, nowMilliseconds)
    }

    /** Handles the successful claim of the request's idempotency key. */
    public fun onClaimWon(requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.isConcluded) return emptyList()
        request.claimState = ClaimState.WON
        val endpoint = request.readyEndpoints.firstOrNull() ?: return emptyList()
        return onReady(endpoint, requestId, nowMilliseconds)
    }

    /** Handles an idempotency key that is claimed elsewhere: the request is not run and ends with [outcome]. */
    public fun onClaimLost(requestId: RequestId, outcome: Outcome): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.isConcluded || request.phase != RequestPhase.Waiting) return emptyList()
        request.claimState = ClaimState.NOT_NEEDED
        return offers.withdrawAll(request) + completion.conclude(request, outcome)
    }

    /** Handles a caller that has closed its connection. */
    public fun onCallerGone(requestId: RequestId): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.isConcluded) return emptyList()
        return when (val phase = request.phase) {
            RequestPhase.Waiting ->
                offers.withdrawAll(request) +
                    completion.conclude(request, completion.outcomeOfWaiting(request, NotRunReason.CALLER_GONE))
            is RequestPhase.Granted -> completion.concludeWhileRunning(request, phase, UnknownReason.DEADLINE)
        }
    }

    /** Handles a new connection to the sidecar of [endpoint]; [sidecar] is the incarnation at its other end. */
    public fun onEndpointConnected(
        endpoint: EndpointId,
        pool: String,
        sidecar: Incarnation,
        isLocalZone: Boolean,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        val member = members.getOrAdd(endpoint, pool, isLocalZone)
        val isSameIncarnation = member.incarnation == sidecar
        if (!isSameIncarnation) offers.forgetCache(endpoint)
        member.incarnation = sidecar
        member.isConnected = true
        member.isLeaving = false
        member.isStraggling = false
        val resumed = member.granted.toList().flatMap { requestId ->
            val request =
                checkNotNull(requests[requestId]) { "Request $requestId is granted at $endpoint but not tracked." }
            if (isSameIncarnation) reattach(request, endpoint) else onSidecarReplaced(request, nowMilliseconds)
        }
        return resumed + offers.offerWaiting(requests.waiting, member, nowMilliseconds)
    }

    private fun reattach(request: TrackedRequest, endpoint: EndpointId): List<DispatchEffect> {
        val granted = request.phase as RequestPhase.Granted
        request.phase = granted.copy(connectionLostAtMilliseconds = null)
        return listOf(DispatchEffect.SendAttach(endpoint, request.requestId, request.attempt))
    }

    /** Handles the restart of the sidecar that had the grant; its state of the attempt is lost. */
    private fun onSidecarReplaced(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        completion.endAttempt(request)
        request.mayHaveRun = true
        return when {
            request.isConcluded -> listOf(completion.forget(request))
            attempts.tryAcquireRetry(request, FailureReason.CUT) -> attempts.retry(request, nowMilliseconds)
            else -> completion.conclude(request, Outcome.Unknown(UnknownReason.SIDECAR_LOST))
        }
    }

    /** Handles the loss of the connection to the sidecar of [endpoint]. */
    public fun onEndpointDisconnected(endpoint: EndpointId, nowMilliseconds: Long): List<DispatchEffect> {
        val member = members[endpoint] ?: return emptyList()
        member.isConnected = false
        member.digest = null
        member.offered.toList().mapNotNull(requests::get).forEach { request ->
            offers.close(request, endpoint)
            if (!request.isOfferedToAll) requests.scheduleOfferToAll(request, nowMilliseconds)
        }
        member.granted.mapNotNull(requests::get).forEach { request ->
            request.phase = (request.phase as RequestPhase.Granted).copy(connectionLostAtMilliseconds = nowMilliseconds)
        }
        return emptyList()
    }

    /**
     * Moves requests that may be retried away from an endpoint that has become a straggler, unless stragglers are not
     * excluded because they make up half of the pool or more.
     */
    private fun onStraggling(
        endpoint: EndpointId,
        isStraggling: Boolean,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        val member = members[endpoint] ?: return emptyList()
        member.isStraggling = isStraggling
        if (!isStraggling) return offers.offerWaiting(requests.waiting, member, nowMilliseconds)
        if (!members.excludesStragglers(member.pool)) return emptyList()
        return member.granted.mapNotNull(requests::get)
            .filter { !it.isConcluded && attempts.tryAcquireRetry(it, FailureReason.STALLED) }
            .flatMap { attempts.move(it, endpoint, nowMilliseconds) }
    }

    /** Applies the set of drained endpoints from the configuration. */
    public fun onDrains(drained: Set<EndpointId>, nowMilliseconds: Long): List<DispatchEffect> =
        members.all.flatMap { member ->
            val wasDrained = member.isDrained
            member.isDrained = member.endpoint in drained
            when {
                wasDrained && !member.isDrained && member.isAccepting -> offers.offerWaiting(
                    requests.waiting,
                    member,
                    nowMilliseconds,
                )
                else -> emptyList()
            }
        }

    /** Handles deadlines, due offers and sidecars that did not reconnect in time. To be called every 10 ms. */
    public fun onTick(nowMilliseconds: Long): List<DispatchEffect> {
        val expired = requests.takeExpired(nowMilliseconds).flatMap(::expire)
        val offered = requests.takeDueForOfferToAll(nowMilliseconds).flatMap { onOfferToAllDue(it, nowMilliseconds) }
        return expired + offered + attempts.retryDisconnected(nowMilliseconds)
    }

    private fun onOfferToAllDue(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        if (request.phase != RequestPhase.Waiting || request.isConcluded) return emptyList()
        return offers.offerToAll(request, nowMilliseconds)
    }

    private fun expire(request: TrackedRequest): List<DispatchEffect> {
        if (request.isConcluded) return completion.stopTracking(request)
        return when (val phase = request.phase) {
            RequestPhase.Waiting -> offers.withdrawAll(request) +
                completion.conclude(request, completion.outcomeOfWaiting(request, completion.waitingReason(request)))
            is RequestPhase.Granted -> completion.concludeWhileRunning(request, phase, UnknownReason.DEADLINE)
        }
    }
}
