package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.protocol.message.Cancel
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.scheduling.budget.RetryBudget

/** Begins attempts: the first one of a request, and further ones where its route allows a repeat. */
internal class AttemptStarter(
    private val members: MemberTable,
    private val requests: RequestTable,
    private val offers: OfferBoard,
    private val endings: RequestEndings,
    private val delivered: DeliveredAnswers,
    private val settings: DispatcherSettings,
) {
    private val retries = RetryBudget()

    /** Notes that an attempt of [request] was granted. */
    fun noteGrant(request: TrackedRequest) {
        if (request.attempt == 1) retries.earn()
    }

    /** Lets [request] wait, and makes its first offers. */
    fun startWaiting(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        request.phase = Phase.Waiting
        request.isWide = false
        val remaining = request.specification.deadlineMilliseconds - nowMilliseconds
        val isUrgent = remaining < URGENT_FACTOR * settings.widenMilliseconds
        requests.startWaiting(request, nowMilliseconds + if (isUrgent) 0 else settings.widenMilliseconds)
        return if (isUrgent) {
            offers.offerToAll(request, nowMilliseconds)
        } else {
            offers.offerToBest(request, nowMilliseconds)
        }
    }

    /** Begins the next attempt of [request], unless its deadline has passed. */
    fun retry(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        if (nowMilliseconds >= request.specification.deadlineMilliseconds) {
            return endings.conclude(request, endings.outcomeOfWaiting(request, NotRunReason.DEADLINE))
        }
        request.attempt++
        return startWaiting(request, nowMilliseconds)
    }

    /** Whether [request], which may have run, may be dispatched again after [reason]. Takes from the retry budget. */
    fun mayRepeat(request: TrackedRequest, reason: FailureReason): Boolean = when (request.specification.dispatch) {
        DispatchRule.AT_MOST_ONCE -> false
        DispatchRule.RESUMABLE -> reason == FailureReason.PREEMPTED || retries.spend()
        DispatchRule.REPEATABLE -> !delivered.hasDelivered(request.requestId) && retries.spend()
    }

    /** Ends the attempt at [from] and begins the next one. */
    fun move(request: TrackedRequest, from: EndpointId, nowMilliseconds: Long): List<DispatchEffect> {
        endings.endAttempt(request)
        request.mayHaveRun = true
        return listOf(DispatchEffect.Send(from, Cancel(request.requestId))) + retry(request, nowMilliseconds)
    }

    /** Moves streams whose sidecar stays away. */
    fun moveLostStreams(nowMilliseconds: Long): List<DispatchEffect> =
        members.all.filter { !it.isConnected && it.granted.isNotEmpty() }.flatMap { member ->
            member.granted.mapNotNull(requests::get)
                .filter { isMovable(it, nowMilliseconds) }
                .flatMap { request ->
                    endings.endAttempt(request)
                    request.mayHaveRun = true
                    retry(request, nowMilliseconds)
                }
        }

    private fun isMovable(request: TrackedRequest, nowMilliseconds: Long): Boolean {
        val since = (request.phase as? Phase.Granted)?.lostSince ?: return false
        if (request.isConcluded || since + settings.reattachMilliseconds > nowMilliseconds) return false
        return mayRepeat(request, FailureReason.CUT)
    }

    private companion object {
        const val URGENT_FACTOR = 10
    }
}
