package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.model.outcome.UnknownReason
import org.guavahatch.protocol.message.AnswerFailed
import org.guavahatch.protocol.message.Cancel
import org.guavahatch.protocol.message.Declined
import org.guavahatch.protocol.message.Digest
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.protocol.message.Forgotten
import org.guavahatch.protocol.message.GrantRefused
import org.guavahatch.protocol.message.Leaving
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.Offer
import org.guavahatch.protocol.message.OfferRefused
import org.guavahatch.protocol.message.Ready
import org.guavahatch.protocol.message.RefusalReason
import org.guavahatch.protocol.message.Withdraw
import org.guavahatch.scheduling.budget.RetryBudget
import org.guavahatch.scheduling.choice.Candidate
import org.guavahatch.scheduling.choice.EndpointChooser
import org.guavahatch.scheduling.choice.PrefixIndex
import org.guavahatch.scheduling.choice.RoutedRequest
import kotlin.random.Random

/**
 * The decisions of an entry instance: where requests are offered, which sidecar is granted one, and what a caller is
 * told. A request is granted to one sidecar at a time; a further attempt is granted only after proof that the last one
 * was not dispatched, or where the route allows a repeat. Pure: it returns effects and performs none. Not safe for use
 * by several threads.
 *
 * @property chooser picks the endpoints of the first offers
 * @property delivered tells what callers have received
 * @property random source of chance for the chooser
 */
public class RequestDispatcher(
    private val chooser: EndpointChooser,
    private val delivered: DeliveredAnswers,
    private val random: Random,
    private val settings: DispatcherSettings = DispatcherSettings(),
) {
    private val members = LinkedHashMap<EndpointId, Member>()
    private val requests = HashMap<RequestId, TrackedRequest>()
    private val deadlines = RequestSchedule()
    private val widenings = RequestSchedule()
    private val waitingByRank = java.util.TreeMap<Int, LinkedHashSet<RequestId>>()
    private val retries = RetryBudget()
    private val prefixes = PrefixIndex()

    /** Requests that are held, whether or not their callers have been answered. */
    public val heldRequests: Int get() = requests.size

    /** Requests whose callers wait. */
    public val unansweredRequests: Int get() = requests.values.count { !it.isConcluded }

    /** Endpoints of [pool] that can be offered requests. */
    public fun acceptingEndpoints(pool: String): List<EndpointId> =
        members.values.filter { it.pool == pool && it.isAccepting }.map { it.endpoint }

    /** Accepts a request. */
    public fun onSubmit(specification: RequestSpecification, nowMilliseconds: Long): List<DispatchEffect> {
        val request = TrackedRequest(specification, nowMilliseconds)
        val room = makeRoom(specification.rank)
        requests[request.requestId] = request
        if (room == null) return conclude(request, notRun(NotRunReason.ENTRY_FULL))
        deadlines.set(request.requestId, specification.deadlineMilliseconds)
        val claim = if (specification.needsClaim) listOf(DispatchEffect.Claim(request.requestId)) else emptyList()
        return room + claim + startWaiting(request, nowMilliseconds)
    }

    /** Makes room for a request of [rank] by displacing a waiting one of a lower tier; null if that is not possible. */
    private fun makeRoom(rank: Int): List<DispatchEffect>? {
        if (requests.size < settings.maximumHeld) return emptyList()
        val lowest = waitingByRank.entries.lastOrNull { it.value.isNotEmpty() } ?: return null
        if (lowest.key <= rank) return null
        val victim = requests.getValue(lowest.value.last())
        return withdrawAll(victim) + conclude(victim, outcomeOfWaiting(victim, NotRunReason.ENTRY_FULL))
    }

    private fun startWaiting(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        request.phase = Phase.Waiting
        request.isWide = false
        waitingByRank.getOrPut(request.specification.rank) { LinkedHashSet() }.add(request.requestId)
        val remaining = request.specification.deadlineMilliseconds - nowMilliseconds
        val isUrgent = remaining < URGENT_FACTOR * settings.widenMilliseconds
        request.widenAtMilliseconds = nowMilliseconds + if (isUrgent) 0 else settings.widenMilliseconds
        widenings.set(request.requestId, request.widenAtMilliseconds)
        return if (isUrgent) widen(request, nowMilliseconds) else offerToBest(request, nowMilliseconds)
    }

    private fun offerToBest(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        val specification = request.specification
        val shares = prefixes.cachedShares(specification.prefixBlocks)
        val candidates = members.values
            .filter { it.pool == specification.pool && it.isAccepting }
            .map { candidate(it, shares[it.endpoint] ?: 0.0) }
        val routed = RoutedRequest(specification.rank, specification.cost, specification.promptCost)
        return chooser.choose(routed, candidates, settings.initialOffers, random)
            .flatMap { offer(request, members.getValue(it), nowMilliseconds) }
    }

    private fun candidate(member: Member, cachedShare: Double) = Candidate(
        endpoint = member.endpoint,
        digest = member.digest,
        outstandingRequests = member.granted.size + member.offered.size,
        costSinceDigest = member.costSinceDigest,
        cachedPromptShare = cachedShare,
        isLocalZone = member.isLocalZone,
    )

    private fun widen(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        request.isWide = true
        return members.values
            .filter { it.pool == request.specification.pool && it.isAccepting }
            .flatMap { offer(request, it, nowMilliseconds) }
    }

    private fun offer(request: TrackedRequest, member: Member, nowMilliseconds: Long): List<DispatchEffect> {
        if (!request.offeredTo.add(member.endpoint)) return emptyList()
        member.offered.add(request.requestId)
        val specification = request.specification
        val message = Offer(
            requestId = request.requestId,
            attempt = request.attempt,
            rank = specification.rank,
            account = specification.account,
            share = specification.share,
            route = specification.route,
            cost = specification.cost,
            tokens = specification.tokens,
            remainingMilliseconds = specification.deadlineMilliseconds - nowMilliseconds,
            dispatch = specification.dispatch,
        )
        return listOf(DispatchEffect.Send(member.endpoint, message))
    }

    /** Takes a message of [endpoint]'s sidecar. Answer frames other than failures do not concern the dispatcher. */
    public fun onMessage(endpoint: EndpointId, message: Message, nowMilliseconds: Long): List<DispatchEffect> =
        when (message) {
            is Ready -> onReady(endpoint, message.requestId, nowMilliseconds)
            is OfferRefused -> onOfferRefused(endpoint, message, nowMilliseconds)
            is GrantRefused -> onGrantRefused(endpoint, message, nowMilliseconds)
            is AnswerFailed -> onAnswerFailed(endpoint, message, nowMilliseconds)
            is Forgotten -> onForgotten(endpoint, message)
            is Digest -> onDigest(endpoint, message)
            is Leaving -> onLeaving(endpoint)
            else -> emptyList()
        }

    private fun onReady(endpoint: EndpointId, requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        val request = requests[requestId]
        val member = members[endpoint]
        val mayRun = request != null && member != null && request.phase == Phase.Waiting &&
            !request.isConcluded && endpoint in request.offeredTo && member.isAccepting &&
            nowMilliseconds < request.specification.deadlineMilliseconds
        if (!mayRun) return listOf(DispatchEffect.Send(endpoint, Declined(requestId)))
        if (request.claim == ClaimState.PENDING) {
            request.readyAt.add(endpoint)
            return emptyList()
        }
        return grant(request, member, nowMilliseconds)
    }

    private fun grant(request: TrackedRequest, member: Member, nowMilliseconds: Long): List<DispatchEffect> {
        val sidecar = checkNotNull(member.incarnation) { "A connected member has an incarnation." }
        takeOffer(request, member.endpoint)
        val withdrawals = withdrawAll(request)
        stopWaiting(request)
        request.phase = Phase.Granted(member.endpoint, sidecar)
        member.granted.add(request.requestId)
        member.costSinceDigest += request.specification.cost
        prefixes.note(request.specification.prefixBlocks, member.endpoint)
        if (request.attempt == 1) retries.earn()
        val remaining = request.specification.deadlineMilliseconds - nowMilliseconds
        val grant =
            DispatchEffect.SendGrant(member.endpoint, sidecar, request.requestId, request.attempt, remaining)
        return listOf(grant) + withdrawals
    }

    private fun takeOffer(request: TrackedRequest, endpoint: EndpointId) {
        request.offeredTo.remove(endpoint)
        request.readyAt.remove(endpoint)
        members[endpoint]?.offered?.remove(request.requestId)
    }

    private fun withdrawAll(request: TrackedRequest): List<DispatchEffect> {
        val endpoints = request.offeredTo.toList()
        endpoints.forEach { takeOffer(request, it) }
        return endpoints.map { DispatchEffect.Send(it, Withdraw(request.requestId)) }
    }

    private fun stopWaiting(request: TrackedRequest) {
        waitingByRank[request.specification.rank]?.remove(request.requestId)
        widenings.cancel(request.requestId)
    }

    private fun onOfferRefused(
        endpoint: EndpointId,
        refused: OfferRefused,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        if (refused.reason == RefusalReason.LEAVING) members[endpoint]?.isLeaving = true
        val request = requests[refused.requestId] ?: return emptyList()
        takeOffer(request, endpoint)
        if (request.phase == Phase.Waiting && !request.isConcluded) {
            widenings.set(request.requestId, nowMilliseconds + settings.reofferMilliseconds)
        }
        return emptyList()
    }

    private fun onGrantRefused(
        endpoint: EndpointId,
        refused: GrantRefused,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        if (refused.reason == RefusalReason.LEAVING) members[endpoint]?.isLeaving = true
        val request = grantedTo(endpoint, refused.requestId, refused.attempt) ?: return emptyList()
        endAttempt(request)
        return if (request.isConcluded) giveBack(request) else retry(request, nowMilliseconds)
    }

    private fun onAnswerFailed(
        endpoint: EndpointId,
        failed: AnswerFailed,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        val request = grantedTo(endpoint, failed.requestId, failed.attempt) ?: return emptyList()
        endAttempt(request)
        request.mayHaveRun = true
        return when {
            request.isConcluded -> listOf(forget(request))
            mayRepeat(request, failed.reason) -> retry(request, nowMilliseconds)
            else -> conclude(request, Outcome.Unknown(UnknownReason.ENDPOINT_FAILED))
        }
    }

    private fun mayRepeat(request: TrackedRequest, reason: FailureReason): Boolean =
        when (request.specification.dispatch) {
            DispatchRule.AT_MOST_ONCE -> false
            DispatchRule.RESUMABLE -> reason == FailureReason.PREEMPTED || retries.spend()
            DispatchRule.REPEATABLE -> !delivered.hasDelivered(request.requestId) && retries.spend()
        }

    private fun onForgotten(endpoint: EndpointId, forgotten: Forgotten): List<DispatchEffect> {
        val request = grantedTo(endpoint, forgotten.requestId, forgotten.attempt) ?: return emptyList()
        endAttempt(request)
        return conclude(request, Outcome.Unknown(UnknownReason.SIDECAR_LOST))
    }

    private fun retry(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        if (nowMilliseconds >= request.specification.deadlineMilliseconds) {
            return conclude(request, outcomeOfWaiting(request, NotRunReason.DEADLINE))
        }
        request.attempt++
        return startWaiting(request, nowMilliseconds)
    }

    private fun grantedTo(endpoint: EndpointId, requestId: RequestId, attempt: Int): TrackedRequest? {
        val request = requests[requestId] ?: return null
        val granted = request.phase as? Phase.Granted ?: return null
        return request.takeIf { granted.endpoint == endpoint && request.attempt == attempt }
    }

    private fun endAttempt(request: TrackedRequest) {
        val granted = request.phase as? Phase.Granted ?: return
        members[granted.endpoint]?.granted?.remove(request.requestId)
        request.phase = Phase.Waiting
    }

    /** The whole answer of [attempt] has arrived. */
    public fun onAnswerWhole(requestId: RequestId, attempt: Int): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        val granted = request.phase as? Phase.Granted ?: return emptyList()
        if (request.attempt != attempt || grantedTo(granted.endpoint, requestId, attempt) == null) return emptyList()
        endAttempt(request)
        val record = if (request.specification.needsClaim) {
            listOf(DispatchEffect.RecordAnswer(requestId))
        } else {
            emptyList()
        }
        val end = if (request.isConcluded) listOf(forget(request)) else conclude(request, Outcome.Answered)
        return record + end
    }

    /** The frames of [attempt] do not fit together; handled as a failure of the endpoint. */
    public fun onAnswerBroken(requestId: RequestId, attempt: Int, nowMilliseconds: Long): List<DispatchEffect> {
        val granted = requests[requestId]?.phase as? Phase.Granted ?: return emptyList()
        val failure = AnswerFailed(requestId, attempt, FailureReason.CUT)
        return onAnswerFailed(granted.endpoint, failure, nowMilliseconds)
    }

    /** The request's idempotency key was claimed for it. */
    public fun onClaimWon(requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.isConcluded) return emptyList()
        request.claim = ClaimState.WON
        val endpoint = request.readyAt.firstOrNull() ?: return emptyList()
        return onReady(endpoint, requestId, nowMilliseconds)
    }

    /** Another attempt has the claim, so the request ends with [outcome] and is not run. */
    public fun onClaimLost(requestId: RequestId, outcome: Outcome): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.isConcluded || request.phase != Phase.Waiting) return emptyList()
        request.claim = ClaimState.NOT_NEEDED
        return withdrawAll(request) + conclude(request, outcome)
    }

    /** The caller has closed its connection. */
    public fun onCallerGone(requestId: RequestId): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.isConcluded) return emptyList()
        return when (val phase = request.phase) {
            Phase.Waiting ->
                withdrawAll(request) + conclude(request, outcomeOfWaiting(request, NotRunReason.CALLER_GONE))
            is Phase.Granted -> leaveBehind(request, phase, UnknownReason.DEADLINE)
        }
    }

    /** Tells the caller "unknown" while the attempt goes on, or is cancelled where that is safe. */
    private fun leaveBehind(
        request: TrackedRequest,
        phase: Phase.Granted,
        reason: UnknownReason,
    ): List<DispatchEffect> {
        val specification = request.specification
        deadlines.set(request.requestId, specification.deadlineMilliseconds + settings.settleMilliseconds)
        val isSafeToStop = specification.dispatch != DispatchRule.AT_MOST_ONCE || !specification.needsClaim
        val cancel = DispatchEffect.Send(phase.endpoint, Cancel(request.requestId)).takeIf { isSafeToStop }
        return listOfNotNull(cancel) + conclude(request, Outcome.Unknown(reason))
    }

    private fun onDigest(endpoint: EndpointId, digest: Digest): List<DispatchEffect> {
        val member = members[endpoint] ?: return emptyList()
        member.digest = digest
        member.costSinceDigest = 0.0
        member.isLeaving = !digest.isAccepting
        return emptyList()
    }

    private fun onLeaving(endpoint: EndpointId): List<DispatchEffect> {
        members[endpoint]?.isLeaving = true
        return emptyList()
    }

    /** A connection to [endpoint]'s sidecar is up; [sidecar] is the run that answers on it. */
    public fun onMemberUp(
        endpoint: EndpointId,
        pool: String,
        sidecar: Incarnation,
        isLocalZone: Boolean,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        val member = members.getOrPut(endpoint) { Member(endpoint, pool, isLocalZone) }
        val isSame = member.incarnation == sidecar
        if (!isSame) prefixes.forget(endpoint)
        member.incarnation = sidecar
        member.isConnected = true
        member.isLeaving = false
        val settled = member.granted.toList().flatMap { requestId ->
            val request = requests.getValue(requestId)
            if (isSame) reattach(request, endpoint) else onSidecarReplaced(request, nowMilliseconds)
        }
        return settled + offerWaiting(member, nowMilliseconds)
    }

    private fun reattach(request: TrackedRequest, endpoint: EndpointId): List<DispatchEffect> {
        val granted = request.phase as Phase.Granted
        request.phase = granted.copy(lostSince = null)
        return listOf(DispatchEffect.SendAttach(endpoint, request.requestId, request.attempt))
    }

    /** The run of the sidecar that had the grant is over, and with it everything that it knew. */
    private fun onSidecarReplaced(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        endAttempt(request)
        request.mayHaveRun = true
        return when {
            request.isConcluded -> listOf(forget(request))
            mayRepeat(request, FailureReason.CUT) -> retry(request, nowMilliseconds)
            else -> conclude(request, Outcome.Unknown(UnknownReason.SIDECAR_LOST))
        }
    }

    private fun offerWaiting(member: Member, nowMilliseconds: Long): List<DispatchEffect> =
        waitingByRank.values.flatten()
            .map { requests.getValue(it) }
            .filter { it.specification.pool == member.pool && (it.isWide || it.offeredTo.isEmpty()) }
            .flatMap { offer(it, member, nowMilliseconds) }

    /** The connection to [endpoint]'s sidecar was lost. */
    public fun onMemberDown(endpoint: EndpointId, nowMilliseconds: Long): List<DispatchEffect> {
        val member = members[endpoint] ?: return emptyList()
        member.isConnected = false
        member.digest = null
        member.offered.toList().forEach { requestId ->
            val request = requests.getValue(requestId)
            takeOffer(request, endpoint)
            if (!request.isWide) widenings.set(requestId, nowMilliseconds)
        }
        member.granted.forEach { requestId ->
            val request = requests.getValue(requestId)
            request.phase = (request.phase as Phase.Granted).copy(lostSince = nowMilliseconds)
        }
        return emptyList()
    }

    /** Sets which endpoints are drained, by the configuration. */
    public fun onDrains(drained: Set<EndpointId>, nowMilliseconds: Long): List<DispatchEffect> =
        members.values.flatMap { member ->
            val wasDrained = member.isDrained
            member.isDrained = member.endpoint in drained
            when {
                wasDrained && !member.isDrained && member.isAccepting -> offerWaiting(member, nowMilliseconds)
                else -> emptyList()
            }
        }

    /** Lets time pass: deadlines, further offers, streams whose sidecar stays away. Call every 10 ms. */
    public fun onTick(nowMilliseconds: Long): List<DispatchEffect> {
        val expired = deadlines.takeDue(nowMilliseconds).flatMap { expire(it, nowMilliseconds) }
        val widened = widenings.takeDue(nowMilliseconds).flatMap { onWidening(it, nowMilliseconds) }
        return expired + widened + moveLostStreams(nowMilliseconds)
    }

    private fun onWidening(requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.phase != Phase.Waiting || request.isConcluded) return emptyList()
        return widen(request, nowMilliseconds)
    }

    private fun expire(requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.isConcluded) return abandon(request)
        return when (val phase = request.phase) {
            Phase.Waiting -> withdrawAll(request) + conclude(request, outcomeOfWaiting(request, waitingReason(request)))
            is Phase.Granted -> leaveBehind(request, phase, UnknownReason.DEADLINE)
        }
    }

    private fun waitingReason(request: TrackedRequest): NotRunReason = when {
        request.claim == ClaimState.PENDING -> NotRunReason.CLAIM_UNAVAILABLE
        acceptingEndpoints(request.specification.pool).isEmpty() -> NotRunReason.NO_ENDPOINT
        else -> NotRunReason.DEADLINE
    }

    private fun outcomeOfWaiting(request: TrackedRequest, reason: NotRunReason): Outcome =
        if (request.mayHaveRun) Outcome.Unknown(UnknownReason.ENDPOINT_FAILED) else notRun(reason)

    private fun notRun(reason: NotRunReason) = Outcome.NotRun(reason, settings.retryAfterMilliseconds)

    private fun moveLostStreams(nowMilliseconds: Long): List<DispatchEffect> =
        members.values.filter { !it.isConnected && it.granted.isNotEmpty() }.flatMap { member ->
            member.granted.map(requests::getValue)
                .filter { isMovable(it, nowMilliseconds) }
                .flatMap { request ->
                    endAttempt(request)
                    request.mayHaveRun = true
                    retry(request, nowMilliseconds)
                }
        }

    private fun isMovable(request: TrackedRequest, nowMilliseconds: Long): Boolean {
        val since = (request.phase as? Phase.Granted)?.lostSince ?: return false
        if (request.isConcluded || since + settings.reattachMilliseconds > nowMilliseconds) return false
        return mayRepeat(request, FailureReason.CUT)
    }

    private fun conclude(request: TrackedRequest, outcome: Outcome): List<DispatchEffect> {
        request.isConcluded = true
        stopWaiting(request)
        val conclusion = DispatchEffect.Conclude(request.requestId, outcome)
        val isFollowed = request.phase is Phase.Granted
        if (isFollowed) return listOf(conclusion)
        val release = DispatchEffect.ReleaseClaim(request.requestId)
            .takeIf { request.claim != ClaimState.NOT_NEEDED && outcome is Outcome.NotRun }
        return listOfNotNull(conclusion, release, forget(request))
    }

    /** Ends the tracking of a request whose caller was told "unknown" and whose attempt has not ended. */
    private fun abandon(request: TrackedRequest): List<DispatchEffect> {
        endAttempt(request)
        return listOf(forget(request))
    }

    /** Ends the tracking of a request whose caller was told "unknown" and that is now proved not to have run. */
    private fun giveBack(request: TrackedRequest): List<DispatchEffect> {
        val mayRelease = request.specification.needsClaim && !request.mayHaveRun
        val release = DispatchEffect.ReleaseClaim(request.requestId).takeIf { mayRelease }
        return listOfNotNull(release, forget(request))
    }

    private fun forget(request: TrackedRequest): DispatchEffect {
        stopWaiting(request)
        deadlines.cancel(request.requestId)
        requests.remove(request.requestId)
        return DispatchEffect.Forget(request.requestId)
    }

    private companion object {
        const val URGENT_FACTOR = 10
    }
}
