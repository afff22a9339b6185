package org.guavahatch.gateway.request

import org.guavahatch.gateway.control.RolloutControl
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.rollout.AnswerResult
import org.guavahatch.scheduling.rollout.RolloutAnswer

/** Reports one send to the rollout of its pool: that it began, that it was written, and how it ended. */
internal class RolloutObservation(
    private val rollouts: RolloutControl,
    private val plan: RequestPlan,
    private val endpoint: EndpointState,
) {
    private val listed = endpoint.listed
    private val route get() = plan.route.name
    private var sentAt = 0L
    private var isEnded = false

    /** Whether the caller has read too slowly, so that the times of events say nothing about the endpoint. */
    var isPaused: Boolean = false

    /** The endpoint was chosen. */
    fun begin() = rollouts.onDispatched(route, listed)

    /** The request was written at [now]. */
    fun onSent(now: Long) {
        sentAt = now
        rollouts.onSent(route, listed)
    }

    /** The endpoint could not be reached. One that is leaving need not be there any more. */
    fun onUnreachable() = if (endpoint.isClosed) ignore() else end(AnswerResult.LOST)

    /** A whole response without a stream came at [now] with [status]. */
    fun onResponse(status: Int, now: Long) {
        val milliseconds = now - sentAt
        if (status >= FIRST_ERROR_STATUS) return end(AnswerResult.FAILURE)
        end(AnswerResult.SUCCESS, milliseconds, milliseconds.toDouble())
    }

    /** A stream with [events] ended in order; its first and last event came at [firstEventAt] and [lastEventAt]. */
    fun onStreamEnd(events: Int, firstEventAt: Long, lastEventAt: Long) {
        val interval = if (events < 2 || isPaused) null else (lastEventAt - firstEventAt).toDouble() / (events - 1)
        end(AnswerResult.SUCCESS, if (events == 0) null else firstEventAt - sentAt, interval)
    }

    /** The answer was unreadable, or the connection was lost if [isLost]. */
    fun onFailure(isLost: Boolean) = end(if (isLost) AnswerResult.LOST else AnswerResult.FAILURE)

    /** The endpoint was silent for too long. */
    fun onSilent() = end(AnswerResult.LOST)

    /**
     * The answer after [events] was given up at [now], as its deadline passed or its caller left. This tells something
     * about the endpoint if it had the time in which callers expect an answer.
     */
    fun onGivenUp(events: Int, now: Long, isDeadline: Boolean) {
        val hadTime = sentAt != 0L && now - sentAt >= plan.route.targetLatencyMilliseconds
        when {
            !hadTime -> ignore()
            events == 0 -> end(AnswerResult.LOST)
            isDeadline -> end(AnswerResult.FAILURE)
            else -> ignore()
        }
    }

    /** The send ended in a way that tells nothing about the version. */
    fun ignore() = end(null)

    private fun end(result: AnswerResult?, firstEvent: Long? = null, interval: Double? = null) {
        if (isEnded) return
        isEnded = true
        val answer = result?.let { RolloutAnswer(route, listed.id, listed.version.orEmpty(), it, firstEvent, interval) }
        rollouts.onEnded(listed, answer)
    }

    private companion object {
        const val FIRST_ERROR_STATUS = 400
    }
}
