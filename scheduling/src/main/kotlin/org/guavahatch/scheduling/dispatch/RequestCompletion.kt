package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.model.outcome.UnknownReason
import org.guavahatch.protocol.message.Cancel

/** Ends attempts and requests: reports outcomes to callers, releases claims and stops tracking requests. */
internal class RequestCompletion(
    private val members: MemberTable,
    private val requests: RequestTable,
    private val settings: DispatcherSettings,
) {
    fun endAttempt(request: TrackedRequest) {
        val granted = request.phase as? RequestPhase.Granted ?: return
        members[granted.endpoint]?.granted?.remove(request.requestId)
        request.phase = RequestPhase.Waiting
    }

    /**
     * Reports "unknown" to the caller of a granted request, and tracks the request further so that its outcome can
     * still be recorded. Cancels the attempt, unless the request is at-most-once and has a claim.
     */
    fun concludeWhileRunning(
        request: TrackedRequest,
        phase: RequestPhase.Granted,
        reason: UnknownReason,
    ): List<DispatchEffect> {
        val specification = request.specification
        requests.setDeadline(request, specification.deadlineMilliseconds + settings.outcomeTrackingMilliseconds)
        val isCancellable = specification.dispatch != DispatchRule.AT_MOST_ONCE || !specification.needsClaim
        val cancel = DispatchEffect.Send(phase.endpoint, Cancel(request.requestId)).takeIf { isCancellable }
        return listOfNotNull(cancel) + conclude(request, Outcome.Unknown(reason))
    }

    fun waitingReason(request: TrackedRequest): NotRunReason = when {
        request.claimState == ClaimState.PENDING -> NotRunReason.CLAIM_UNAVAILABLE
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
        val isStillRunning = request.phase is RequestPhase.Granted
        if (isStillRunning) return listOf(conclusion)
        val release = DispatchEffect.ReleaseClaim(request.requestId)
            .takeIf { request.claimState != ClaimState.NOT_NEEDED && outcome is Outcome.NotRun }
        return listOfNotNull(conclusion, release, forget(request))
    }

    /** Stops tracking a request whose caller was told "unknown" and whose attempt has not ended. */
    fun stopTracking(request: TrackedRequest): List<DispatchEffect> {
        endAttempt(request)
        return listOf(forget(request))
    }

    /**
     * Stops tracking a request whose caller was told "unknown" and whose last attempt has now been proved not
     * dispatched. Releases the claim if no earlier attempt can have run either.
     */
    fun endNotDispatched(request: TrackedRequest): List<DispatchEffect> {
        val mayRelease = request.specification.needsClaim && !request.mayHaveRun
        val release = DispatchEffect.ReleaseClaim(request.requestId).takeIf { mayRelease }
        return listOfNotNull(release, forget(request))
    }

    fun forget(request: TrackedRequest): DispatchEffect {
        requests.remove(request)
        return DispatchEffect.Forget(request.requestId)
    }
}
