package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.model.outcome.UnknownReason
import org.guavahatch.protocol.message.Cancel

/** How attempts and requests end: what callers are told, what becomes of claims, and when a request is forgotten. */
internal class RequestEndings(
    private val members: MemberTable,
    private val requests: RequestTable,
    private val settings: DispatcherSettings,
) {
    fun endAttempt(request: TrackedRequest) {
        val granted = request.phase as? Phase.Granted ?: return
        members[granted.endpoint]?.granted?.remove(request.requestId)
        request.phase = Phase.Waiting
    }

    /** Tells the caller "unknown" while the attempt goes on, or is cancelled where that is safe. */
    fun leaveBehind(request: TrackedRequest, phase: Phase.Granted, reason: UnknownReason): List<DispatchEffect> {
        val specification = request.specification
        requests.setDeadline(request, specification.deadlineMilliseconds + settings.settleMilliseconds)
        val isSafeToStop = specification.dispatch != DispatchRule.AT_MOST_ONCE || !specification.needsClaim
        val cancel = DispatchEffect.Send(phase.endpoint, Cancel(request.requestId)).takeIf { isSafeToStop }
        return listOfNotNull(cancel) + conclude(request, Outcome.Unknown(reason))
    }

    fun waitingReason(request: TrackedRequest): NotRunReason = when {
        request.claim == ClaimState.PENDING -> NotRunReason.CLAIM_UNAVAILABLE
        members.accepting(request.specification.pool).isEmpty() -> NotRunReason.NO_ENDPOINT
        else -> NotRunReason.DEADLINE
    }

    fun outcomeOfWaiting(request: TrackedRequest, reason: NotRunReason): Outcome =
        if (request.mayHaveRun) Outcome.Unknown(UnknownReason.ENDPOINT_FAILED) else notRun(reason)

    fun notRun(reason: NotRunReason) = Outcome.NotRun(reason, settings.retryAfterMilliseconds)

    fun conclude(request: TrackedRequest, outcome: Outcome): List<DispatchEffect> {
        request.isConcluded = true
        requests.stopWaiting(request)
        val conclusion = DispatchEffect.Conclude(request.requestId, outcome)
        val isFollowed = request.phase is Phase.Granted
        if (isFollowed) return listOf(conclusion)
        val release = DispatchEffect.ReleaseClaim(request.requestId)
            .takeIf { request.claim != ClaimState.NOT_NEEDED && outcome is Outcome.NotRun }
        return listOfNotNull(conclusion, release, forget(request))
    }

    /** Ends the tracking of a request whose caller was told "unknown" and whose attempt has not ended. */
    fun abandon(request: TrackedRequest): List<DispatchEffect> {
        endAttempt(request)
        return listOf(forget(request))
    }

    /** Ends the tracking of a request whose caller was told "unknown" and that is now proved not to have run. */
    fun giveBack(request: TrackedRequest): List<DispatchEffect> {
        val mayRelease = request.specification.needsClaim && !request.mayHaveRun
        val release = DispatchEffect.ReleaseClaim(request.requestId).takeIf { mayRelease }
        return listOfNotNull(release, forget(request))
    }

    fun forget(request: TrackedRequest): DispatchEffect {
        requests.remove(request)
        return DispatchEffect.Forget(request.requestId)
    }
}
