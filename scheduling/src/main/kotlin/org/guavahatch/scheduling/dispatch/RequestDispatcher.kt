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
 * The decisions of an entry instance: where requests are offered, which sidecar is granted one, and what a caller is
 * told. A request is granted to one sidecar at a time; a further attempt is granted only after proof that the last one
 * was not dispatched, or where the route allows a repeat. Pure: it returns effects and performs none. Not safe for use
 * by several threads.
 *
 * @param chooser picks the endpoints of the first offers
 * @param delivered tells what callers have received
 * @param random source of chance for the chooser
 */
public class RequestDispatcher(
    chooser: EndpointChooser,
    delivered: DeliveredAnswers,
    random: Random,
    private val settings: DispatcherSettings = DispatcherSettings(),
) {
    private val members = MemberTable()
    private val requests = RequestTable()
    private val offers = OfferBoard(members, chooser, random, settings.initialOffers)
    private val endings = RequestEndings(members, requests, settings)
    private val attempts = AttemptStarter(members, requests, offers, endings, delivered, settings)

    /** Requests that are held, whether or not their callers have been answered. */
    public val heldRequests: Int get() = requests.size

    /** Requests whose callers wait. */
    public val unansweredRequests: Int get() = requests.all.count { !it.isConcluded }

    /** Endpoints of [pool] that can be offered requests. */
    public fun acceptingEndpoints(pool: String): List<EndpointId> = members.accepting(pool).map { it.endpoint }

    /** Accepts a request. */
    public fun onSubmit(specification: RequestSpecification, nowMilliseconds: Long): List<DispatchEffect> {
        val request = TrackedRequest(specification)
        val room = makeRoom(specification.rank)
        requests.add(request)
        if (room == null) return endings.conclude(request, endings.notRun(NotRunReason.ENTRY_FULL))
        val claim = if (specification.needsClaim) listOf(DispatchEffect.Claim(request.requestId)) else emptyList()
        return room + claim + attempts.startWaiting(request, nowMilliseconds)
    }

    /** Makes room for a request of [rank] by displacing a waiting one of a lower tier; null if that is not possible. */
    private fun makeRoom(rank: Int): List<DispatchEffect>? {
        if (requests.size < settings.maximumHeld) return emptyList()
        val victim = requests.lastBelow(rank) ?: return null
        return offers.withdrawAll(victim) +
            endings.conclude(victim, endings.outcomeOfWaiting(victim, NotRunReason.ENTRY_FULL))
    }

    /** Takes a message of [endpoint]'s sidecar. Answer frames other than failures do not concern the dispatcher. */
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

    private fun noEffect(step: () -> Unit): List<DispatchEffect> {
        step()
        return emptyList()
    }

    private fun onReady(endpoint: EndpointId, requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        val request = requests[requestId]
        val member = members[endpoint]
        val mayRun = request != null &&
            member != null &&
            request.phase == Phase.Waiting &&
            !request.isConcluded &&
            endpoint in request.offeredTo &&
            member.isAccepting &&
            !isAvoided(member) &&
            nowMilliseconds < request.specification.deadlineMilliseconds
        if (!mayRun) return decline(endpoint, requestId, nowMilliseconds)
        if (request.claim == ClaimState.PENDING) {
            request.readyAt.add(endpoint)
            return emptyList()
        }
        return grant(request, member, nowMilliseconds)
    }

    private fun decline(endpoint: EndpointId, requestId: RequestId, nowMilliseconds: Long): List<DispatchEffect> {
        requests[requestId]?.let { closeOffer(it, endpoint, nowMilliseconds) }
        return listOf(DispatchEffect.Send(endpoint, Declined(requestId)))
    }

    /** Notes that the sidecar does not keep the offer any more; a request that waits is offered again later. */
    private fun closeOffer(request: TrackedRequest, endpoint: EndpointId, nowMilliseconds: Long) {
        offers.close(request, endpoint)
        if (request.phase != Phase.Waiting || request.isConcluded) return
        requests.setWidening(request, nowMilliseconds + settings.reofferMilliseconds)
    }

    private fun isAvoided(member: Member) = member.isStraggling && members.mayAvoidStragglers(member.pool)

    private fun grant(request: TrackedRequest, member: Member, nowMilliseconds: Long): List<DispatchEffect> {
        val sidecar = checkNotNull(member.incarnation) { "A connected member has an incarnation." }
        offers.close(request, member.endpoint)
        val withdrawals = offers.withdrawAll(request)
        requests.stopWaiting(request)
        request.phase = Phase.Granted(member.endpoint, sidecar)
        member.granted.add(request.requestId)
        offers.noteGrant(request, member)
        attempts.noteGrant(request)
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
        val request = grantedTo(endpoint, refused.requestId, refused.attempt) ?: return emptyList()
        endings.endAttempt(request)
        return if (request.isConcluded) endings.giveBack(request) else attempts.retry(request, nowMilliseconds)
    }

    private fun onAnswerFailed(
        endpoint: EndpointId,
        failed: AnswerFailed,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        val request = grantedTo(endpoint, failed.requestId, failed.attempt) ?: return emptyList()
        endings.endAttempt(request)
        request.mayHaveRun = true
        return when {
            request.isConcluded -> listOf(endings.forget(request))
            attempts.mayRepeat(request, failed.reason) -> attempts.retry(request, nowMilliseconds)
            else -> endings.conclude(request, Outcome.Unknown(UnknownReason.ENDPOINT_FAILED))
        }
    }

    private fun onForgotten(endpoint: EndpointId, forgotten: Forgotten): List<DispatchEffect> {
        val request = grantedTo(endpoint, forgotten.requestId, forgotten.attempt) ?: return emptyList()
        endings.endAttempt(request)
        request.mayHaveRun = true
        if (request.isConcluded) return listOf(endings.forget(request))
        return endings.conclude(request, Outcome.Unknown(UnknownReason.SIDECAR_LOST))
    }

    private fun grantedTo(endpoint: EndpointId, requestId: RequestId, attempt: Int): TrackedRequest? {
        val request = requests[requestId] ?: return null
        val granted = request.phase as? Phase.Granted ?: return null
        return request.takeIf { granted.endpoint == endpoint && request.attempt == attempt }
    }

    /** The whole answer of [attempt] has arrived. */
    public fun onAnswerWhole(requestId: RequestId, attempt: Int): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        val granted = request.phase as? Phase.Granted ?: return emptyList()
        if (request.attempt != attempt || grantedTo(granted.endpoint, requestId, attempt) == null) return emptyList()
        endings.endAttempt(request)
        val record = if (request.specification.needsClaim) {
            listOf(DispatchEffect.RecordAnswer(requestId))
        } else {
            emptyList()
        }
        val end = if (request.isConcluded) {
            listOf(
                endings.forget(request),
            )
        } else {
            endings.conclude(request, Outcome.Answered)
        }
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
        return offers.withdrawAll(request) + endings.conclude(request, outcome)
    }

    /** The caller has closed its connection. */
    public fun onCallerGone(requestId: RequestId): List<DispatchEffect> {
        val request = requests[requestId] ?: return emptyList()
        if (request.isConcluded) return emptyList()
        return when (val phase = request.phase) {
            Phase.Waiting ->
                offers.withdrawAll(request) +
                    endings.conclude(request, endings.outcomeOfWaiting(request, NotRunReason.CALLER_GONE))
            is Phase.Granted -> endings.leaveBehind(request, phase, UnknownReason.DEADLINE)
        }
    }

    /** A connection to [endpoint]'s sidecar is up; [sidecar] is the run that answers on it. */
    public fun onMemberUp(
        endpoint: EndpointId,
        pool: String,
        sidecar: Incarnation,
        isLocalZone: Boolean,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        val member = members.getOrAdd(endpoint, pool, isLocalZone)
        val isSame = member.incarnation == sidecar
        if (!isSame) offers.forgetCache(endpoint)
        member.incarnation = sidecar
        member.isConnected = true
        member.isLeaving = false
        member.isStraggling = false
        val settled = member.granted.toList().flatMap { requestId ->
            val request = checkNotNull(requests[requestId]) { "A granted request is held." }
            if (isSame) reattach(request, endpoint) else onSidecarReplaced(request, nowMilliseconds)
        }
        return settled + offers.offerOpen(requests.waiting, member, nowMilliseconds)
    }

    private fun reattach(request: TrackedRequest, endpoint: EndpointId): List<DispatchEffect> {
        val granted = request.phase as Phase.Granted
        request.phase = granted.copy(lostSince = null)
        return listOf(DispatchEffect.SendAttach(endpoint, request.requestId, request.attempt))
    }

    /** The run of the sidecar that had the grant is over, and with it everything that it knew. */
    private fun onSidecarReplaced(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        endings.endAttempt(request)
        request.mayHaveRun = true
        return when {
            request.isConcluded -> listOf(endings.forget(request))
            attempts.mayRepeat(request, FailureReason.CUT) -> attempts.retry(request, nowMilliseconds)
            else -> endings.conclude(request, Outcome.Unknown(UnknownReason.SIDECAR_LOST))
        }
    }

    /** The connection to [endpoint]'s sidecar was lost. */
    public fun onMemberDown(endpoint: EndpointId, nowMilliseconds: Long): List<DispatchEffect> {
        val member = members[endpoint] ?: return emptyList()
        member.isConnected = false
        member.digest = null
        member.offered.toList().mapNotNull(requests::get).forEach { request ->
            offers.close(request, endpoint)
            if (!request.isWide) requests.setWidening(request, nowMilliseconds)
        }
        member.granted.mapNotNull(requests::get).forEach { request ->
            request.phase = (request.phase as Phase.Granted).copy(lostSince = nowMilliseconds)
        }
        return emptyList()
    }

    /** Moves what may be repeated away from an endpoint that has become slow, as long as most others have not. */
    private fun onStraggling(
        endpoint: EndpointId,
        isStraggling: Boolean,
        nowMilliseconds: Long,
    ): List<DispatchEffect> {
        val member = members[endpoint] ?: return emptyList()
        member.isStraggling = isStraggling
        if (!isStraggling) return offers.offerOpen(requests.waiting, member, nowMilliseconds)
        if (!members.mayAvoidStragglers(member.pool)) return emptyList()
        return member.granted.mapNotNull(requests::get)
            .filter { !it.isConcluded && attempts.mayRepeat(it, FailureReason.STALLED) }
            .flatMap { attempts.move(it, endpoint, nowMilliseconds) }
    }

    /** Sets which endpoints are drained, by the configuration. */
    public fun onDrains(drained: Set<EndpointId>, nowMilliseconds: Long): List<DispatchEffect> =
        members.all.flatMap { member ->
            val wasDrained = member.isDrained
            member.isDrained = member.endpoint in drained
            when {
                wasDrained && !member.isDrained && member.isAccepting -> offers.offerOpen(
                    requests.waiting,
                    member,
                    nowMilliseconds,
                )
                else -> emptyList()
            }
        }

    /** Lets time pass: deadlines, further offers, streams whose sidecar stays away. Call every 10 ms. */
    public fun onTick(nowMilliseconds: Long): List<DispatchEffect> {
        val expired = requests.takeExpired(nowMilliseconds).flatMap(::expire)
        val widened = requests.takeWidened(nowMilliseconds).flatMap { onWidening(it, nowMilliseconds) }
        return expired + widened + attempts.moveLostStreams(nowMilliseconds)
    }

    private fun onWidening(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        if (request.phase != Phase.Waiting || request.isConcluded) return emptyList()
        return offers.offerToAll(request, nowMilliseconds)
    }

    private fun expire(request: TrackedRequest): List<DispatchEffect> {
        if (request.isConcluded) return endings.abandon(request)
        return when (val phase = request.phase) {
            Phase.Waiting -> offers.withdrawAll(request) +
                endings.conclude(request, endings.outcomeOfWaiting(request, endings.waitingReason(request)))
            is Phase.Granted -> endings.leaveBehind(request, phase, UnknownReason.DEADLINE)
        }
    }
}
