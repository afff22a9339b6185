package org.guavahatch.gateway.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import org.guavahatch.gateway.caller.CallerResponder
import org.guavahatch.scheduling.direct.SendHistory

/** Responds to a request and ends it exactly once, updating metrics and the decision log. */
internal class RequestCompletion(
    private val plan: RequestPlan,
    private val responder: CallerResponder,
    private val context: RequestContext,
    private val history: SendHistory,
    private val onEnd: () -> Unit,
) {
    private val counters = plan.origin.counters(context.metrics)
    private var firstSentAt: Long? = null
    private var firstEventAt = 0L
    private var lastEventAt = 0L
    private var longestPause = 0L
    private var events = 0

    /** Whether the request has ended. */
    var isCompleted: Boolean = false
        private set

    /** Sends the head of [response] to the caller, unless the response has begun. */
    fun beginResponse(response: HttpResponse) {
        if (!history.recordBegun()) return
        firstEventAt = context.clock.monotonicMilliseconds()
        countIfLate(firstEventAt)
        context.metrics.recordDuration("first-event", plan.waiting.rank, firstEventAt - plan.waiting.arrivedAt)
        responder.begin(response.status().code(), context.messages.responseHeaders(response.headers()))
    }

    /** Records that the request is sent to an endpoint now. */
    fun noteSent() {
        if (firstSentAt == null) firstSentAt = context.clock.monotonicMilliseconds()
    }

    private fun countIfLate(at: Long) {
        if (at > plan.waiting.objectiveEndsAt) counters.countLate()
    }

    /** Records that an event is sent to the caller now. */
    fun noteEvent() {
        val now = context.clock.monotonicMilliseconds()
        if (lastEventAt != 0L) longestPause = maxOf(longestPause, now - lastEventAt)
        lastEventAt = now
        events++
    }

    /** Ends with the complete response of an endpoint. */
    fun respond(response: HttpResponse, body: ByteBuf) {
        val status = response.status().code()
        val isFailure = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
        if (!isFailure) countIfLate(context.clock.monotonicMilliseconds())
        complete(if (isFailure) "failed-by-endpoint" else ANSWERED) {
            responder.respond(status, context.messages.responseHeaders(response.headers()), body)
        }
    }

    /** Ends a stream that is complete. */
    fun completeStream() = complete(ANSWERED) { responder.end() }

    /** Ends a response that has begun and cannot be completed. */
    fun abort(reason: String) = complete("broken-off: $reason") { responder.abort() }

    /** Ends a request that no endpoint has run, so that its caller may retry; returns its units to the account. */
    fun notRun(reason: String, retryAfterMilliseconds: Long) {
        if (isCompleted) return
        plan.account?.let { context.ledger.credit(it.name, plan.units) }
        counters.countRefused()
        fail(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfterMilliseconds)
    }

    /** Ends with an error response of the gateway. */
    fun fail(status: HttpResponseStatus, reason: String, retryAfterMilliseconds: Long? = null) =
        complete(reason, status.code(), retryAfterMilliseconds) {
            responder.respond(status.code(), GatewayResponses.headers(retryAfterMilliseconds), Unpooled.EMPTY_BUFFER)
        }

    /** Ends a request whose caller has disconnected. */
    fun callerGone() = complete("caller-gone") {}

    private fun complete(
        outcome: String,
        status: Int? = null,
        retryAfterMilliseconds: Long? = null,
        sendResponse: () -> Unit,
    ) {
        if (isCompleted) return
        isCompleted = true
        plan.request.body.release()
        onEnd()
        record(outcome, status, retryAfterMilliseconds)
        sendResponse()
    }

    private fun record(outcome: String, status: Int?, retryAfterMilliseconds: Long?) {
        val duration = context.clock.monotonicMilliseconds() - plan.waiting.arrivedAt
        if (outcome == ANSWERED) counters.countAnswered()
        counters.addWaited(firstSentAt?.let { it - plan.waiting.arrivedAt } ?: duration)
        context.metrics.countEnded(outcome.substringBefore(':'))
        context.metrics.recordDuration("total", plan.waiting.rank, duration)
        retryAfterMilliseconds?.let { context.metrics.recordDuration("retry-after", plan.waiting.rank, it) }
        context.log.write("request.ended", plan) {
            put("outcome", outcome)
            status?.let { put("status", it) }
            retryAfterMilliseconds?.let { put("retry-after", it) }
            put("milliseconds", duration)
            if (history.hasAnswerBegun) put("first-event", firstEventAt - plan.waiting.arrivedAt)
            if (lastEventAt != 0L) {
                put("longest-pause", longestPause)
                put("last-event", lastEventAt - plan.waiting.arrivedAt)
                put("events", events)
            }
            putTokens(plan)
            put("possible-runs", history.possibleRuns)
            putOrigin(plan.origin, context.log.zone)
        }
    }

    private companion object {
        const val ANSWERED = "answered"
    }
}
