package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.protocol.message.Cancel
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.scheduling.budget.RetryBudget

/** Starts the first attempt of a request, and further attempts where the dispatch rule of its route allows a retry. */
internal class AttemptStarter(
    private val members: MemberTable,
    private val requests: RequestTable,
    private val offers: OfferTracker,
    private val completion: RequestCompletion,
    private val deliveryStatus: DeliveryStatus,
    private val settings: DispatcherSettings,
) {
    private val retryBudget = RetryBudget()

    /** Credits the retry budget for a granted request; only the first attempt of [request] counts. */
    fun creditRetryBudget(request: TrackedRequest) {
        if (request.attempt == 1) retryBudget.earn()
    }

    /**
     * Puts [request] into the waiting state and makes its first offers: to the preferred endpoints, or to the whole
     * pool if the deadline is near.
     */
    fun startWaiting(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        request.phase = RequestPhase.Waiting
        request.isOfferedToAll = false
        val remaining = request.specification.deadlineMilliseconds - nowMilliseconds
        val isUrgent = remaining < URGENT_FACTOR * settings.offerToAllDelayMilliseconds
        requests.startWaiting(request, nowMilliseconds + if (isUrgent) 0 else settings.offerToAllDelayMilliseconds)
        return if (isUrgent) {
            offers.offerToAll(request, nowMilliseconds)
        } else {
            offers.offerToPreferred(request, nowMilliseconds)
        }
    }

    /** Starts the next attempt of [request], or concludes the request if its deadline has passed. */
    fun retry(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        if (nowMilliseconds >= request.specification.deadlineMilliseconds) {
            return completion.conclude(request, completion.outcomeOfWaiting(request, NotRunReason.DEADLINE))
        }
        request.attempt++
        return startWaiting(request, nowMilliseconds)
    }

    /**
     * Whether [request], which may have run, may be dispatched again after [reason]: never if it is at-most-once, and
     * only before any part of its answer was delivered if it is repeatable. Spends from the retry budget, except for a
     * resumable request that was preempted.
     */
    fun tryAcquireRetry(request: TrackedRequest, reason: FailureReason): Boolean =
        when (request.specification.dispatch) {
            DispatchRule.AT_MOST_ONCE -> false
            DispatchRule.RESUMABLE -> reason == FailureReason.PREEMPTED || retryBudget.spend()
            DispatchRule.REPEATABLE -> !deliveryStatus.hasDelivered(request.requestId) && retryBudget.spend()
        }

    /** Cancels the attempt at [from] and starts the next one. */
    fun move(request: TrackedRequest, from: EndpointId, nowMilliseconds: Long): List<DispatchEffect> {
        completion.endAttempt(request)
        request.mayHaveRun = true
        return listOf(DispatchEffect.Send(from, Cancel(request.requestId))) + retry(request, nowMilliseconds)
    }

    /**
     * Starts a new attempt for each granted request whose sidecar has been disconnected for the reattach timeout, where
     * a retry is allowed.
     */
    fun retryDisconnected(nowMilliseconds: Long): List<DispatchEffect> =
        members.all.filter { !it.isConnected && it.granted.isNotEmpty() }.flatMap { member ->
            member.granted.mapNotNull(requests::get)
                .filter { tryAcquireRetryAfterTimeout(it, nowMilliseconds) }
                .flatMap { request ->
                    completion.endAttempt(request)
                    request.mayHaveRun = true
                    retry(request, nowMilliseconds)
                }
        }

    private fun tryAcquireRetryAfterTimeout(request: TrackedRequest, nowMilliseconds: Long): Boolean {
        val since = (request.phase as? RequestPhase.Granted)?.connectionLostAtMilliseconds ?: return false
        if (request.isConcluded || since + settings.reattachTimeoutMilliseconds > nowMilliseconds) return false
        return tryAcquireRetry(request, FailureReason.CUT)
    }

    private companion object {
        const val URGENT_FACTOR = 10
    }
}
