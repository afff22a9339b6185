package org.guavahatch.gateway.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import org.guavahatch.gateway.caller.CallerResponder
import org.guavahatch.scheduling.direct.SendHistory

/** Answers a request and ends it, once: tells the caller, the counters and the log. */
internal class RequestEnding(
    private val plan: RequestPlan,
    private val responder: CallerResponder,
    private val context: RequestContext,
    private val history: SendHistory,
    private val onEnd: () -> Unit,
) {
    private var firstEventAt = 0L
    private var lastEventAt = 0L
    private var longestPause = 0L
    private var events = 0

    /** Whether the request has ended. */
    var isOver: Boolean = false
        private set

    /** Begins the answer with the head of [response], unless it has begun. */
    fun begin(response: HttpResponse) {
        if (!history.noteBegun()) return
        firstEventAt = context.clock.monotonicMilliseconds()
        context.metrics.duration("first-event", plan.waiting.rank, firstEventAt - plan.waiting.arrivedAt)
        responder.begin(response.status().code(), context.messages.answerHeaders(response.headers()))
    }

    /** Notes that an event goes to the caller now. */
    fun noteEvent() {
        val now = context.clock.monotonicMilliseconds()
        if (lastEventAt != 0L) longestPause = maxOf(longestPause, now - lastEventAt)
        lastEventAt = now
        events++
    }

    /** Ends with the whole answer of an endpoint. */
    fun answer(response: HttpResponse, body: ByteBuf) {
        val status = response.status().code()
        val isFailure = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
        end(if (isFailure) "failed-by-endpoint" else "answered") {
            responder.answer(status, context.messages.answerHeaders(response.headers()), body)
        }
    }

    /** Ends a stream that is complete. */
    fun complete() = end("answered") { responder.end() }

    /** Ends an answer that has begun and cannot be completed. */
    fun breakOff(reason: String) = end("broken-off: $reason") { responder.abort() }

    /** Ends a request that no endpoint has run; its caller may come back. */
    fun notRun(reason: String, retryAfterMilliseconds: Long) {
        if (isOver) return
        plan.account?.let { context.ledger.giveBack(it.name, plan.units) }
        fail(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfterMilliseconds)
    }

    /** Ends with a failure of the gateway's own. */
    fun fail(status: HttpResponseStatus, reason: String, retryAfterMilliseconds: Long? = null) =
        end(reason, status.code()) {
            responder.answer(status.code(), OwnAnswers.headers(retryAfterMilliseconds), Unpooled.EMPTY_BUFFER)
        }

    /** Ends a request whose caller has left. */
    fun callerGone() = end("caller-gone") {}

    private fun end(outcome: String, status: Int? = null, tell: () -> Unit) {
        if (isOver) return
        isOver = true
        plan.request.body.release()
        onEnd()
        record(outcome, status)
        tell()
    }

    private fun record(outcome: String, status: Int?) {
        val duration = context.clock.monotonicMilliseconds() - plan.waiting.arrivedAt
        context.metrics.ended(outcome.substringBefore(':'))
        context.metrics.duration("total", plan.waiting.rank, duration)
        context.log.write("request.ended", plan) {
            put("outcome", outcome)
            status?.let { put("status", it) }
            put("milliseconds", duration)
            if (history.hasBegun) put("first-event", firstEventAt - plan.waiting.arrivedAt)
            if (lastEventAt != 0L) {
                put("longest-pause", longestPause)
                put("last-event", lastEventAt - plan.waiting.arrivedAt)
                put("events", events)
            }
            putTokens(plan)
            put("possible-runs", history.possibleRuns)
            put("rank", plan.waiting.rank)
            put("route-rank", plan.waiting.routeRank)
        }
    }
}
