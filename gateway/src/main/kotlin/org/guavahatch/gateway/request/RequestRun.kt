package org.guavahatch.gateway.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.ScheduledFuture
import org.guavahatch.gateway.caller.CallerRequestListener
import org.guavahatch.gateway.caller.CallerResponder
import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.scheduling.direct.EndpointState
import java.util.concurrent.TimeUnit

/**
 * The life of one request: it waits, goes to an endpoint, perhaps to another one, and ends once.
 *
 * A status that promises "not run" is given only while no endpoint may have run the request.
 */
class RequestRun(
    val plan: RequestPlan,
    private val responder: CallerResponder,
    private val dispatcher: PoolDispatcher,
    private val context: RequestContext,
    private val onEnd: () -> Unit,
) : CallerRequestListener {
    private enum class Stage { WAITING, AT_ENDPOINT, ENDED }

    private var stage = Stage.WAITING
    private var attempt: Attempt? = null

    /** Sends that an endpoint may have run, or has run. */
    private var possibleRuns = 0
    private var rejections = 0
    private var lastEventId: Long? = null
    private var hasBegun = false
    private var firstEventAt = 0L
    private val deadlineTimer: ScheduledFuture<*> = context.loop.schedule(
        ::onDeadline,
        maxOf(0L, plan.waiting.deadline - context.clock.monotonicMilliseconds()),
        TimeUnit.MILLISECONDS,
    )

    private val abandonTimer: ScheduledFuture<*> = context.loop.schedule(
        ::onAbandonTime,
        maxOf(0L, plan.waiting.abandonAt - ANSWER_MARGIN_MILLISECONDS - context.clock.monotonicMilliseconds()),
        TimeUnit.MILLISECONDS,
    )

    /** Whether its answer has begun, so that another endpoint can only continue it. */
    val isContinuation: Boolean get() = hasBegun

    /** Sends the request to [endpoint]. */
    fun dispatch(endpoint: EndpointState) {
        stage = Stage.AT_ENDPOINT
        val started = Attempt(this, endpoint, plan, context)
        attempt = started
        started.start(lastEventId, isLater = possibleRuns + rejections > 0)
    }

    /** Ends the request because nothing can serve it, if it has not been sent. */
    fun refuse(reason: String, retryAfterMilliseconds: Long) {
        if (possibleRuns > 0) answerOwn(BAD_GATEWAY, reason, null) else notRun(reason, retryAfterMilliseconds)
    }

    /** The endpoint could not be reached; nothing was sent. */
    internal fun onUnreachable(endpoint: EndpointState, reason: String) {
        endpoint.noteFailure(context.clock.monotonicMilliseconds(), isUnreachable = true)
        leave(endpoint)
        log("endpoint.unreachable") {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
        }
        rejections++
        if (rejections > MOST_REJECTIONS) refuse("unreachable", SHORT_RETRY_MILLISECONDS) else waitAgain()
    }

    internal fun onSent() {
        possibleRuns++
    }

    /** The endpoint told that it has not run the request. */
    internal fun onRejected(endpoint: EndpointState, status: Int) {
        possibleRuns--
        rejections++
        leave(endpoint)
        val now = context.clock.monotonicMilliseconds()
        if (status == MISDIRECTED) endpoint.noteReplaced(now) else endpoint.noteFull(now)
        val isRetried = rejections <= MOST_REJECTIONS && dispatcher.takeRetry()
        log("endpoint.rejected") {
            put("endpoint", endpoint.listed.id)
            put("status", status)
            put("retried", isRetried)
        }
        if (isRetried) waitAgain() else refuse("rejected", SHORT_RETRY_MILLISECONDS)
    }

    /** The endpoint failed before anything of its answer went to the caller. */
    internal fun onFailed(endpoint: EndpointState, reason: String, fallback: (() -> Unit)?) {
        endpoint.noteFailure(context.clock.monotonicMilliseconds(), isUnreachable = false)
        leave(endpoint)
        val isRetried = canRepeat() && dispatcher.takeRetry()
        log("endpoint.failed") {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
            put("retried", isRetried)
            put("possible-runs", possibleRuns)
        }
        when {
            isRetried -> waitAgain()
            hasBegun -> breakOff(reason)
            fallback != null -> fallback()
            else -> answerOwn(BAD_GATEWAY, reason, null)
        }
    }

    internal fun onEvent(event: StreamEvent, response: HttpResponse) {
        val last = lastEventId
        if (event.id != null && last != null && event.id <= last) {
            event.bytes.release()
            return
        }
        if (event.id != null) lastEventId = event.id
        begin(response)
        responder.write(event.bytes)
        if (!responder.isWritable) attempt?.pauseReading()
    }

    internal fun begin(response: HttpResponse) {
        if (hasBegun) return
        hasBegun = true
        firstEventAt = context.clock.monotonicMilliseconds()
        context.metrics.duration("first-event", plan.waiting.rank, firstEventAt - plan.waiting.arrivedAt)
        responder.begin(response.status().code(), context.messages.answerHeaders(response.headers()))
    }

    internal fun onStreamComplete(endpoint: EndpointState, rest: ByteBuf) {
        endpoint.noteSuccess()
        leave(endpoint)
        if (rest.isReadable) responder.write(rest) else rest.release()
        end("answered") { responder.end() }
    }

    internal fun onAnswer(endpoint: EndpointState, response: HttpResponse, body: ByteBuf) {
        val status = response.status().code()
        val give = {
            end(if (status < FIRST_SERVER_ERROR) "answered" else "failed-by-endpoint") {
                responder.answer(status, context.messages.answerHeaders(response.headers()), body)
            }
        }
        if (status >= FIRST_SERVER_ERROR) return onFailed(endpoint, "status $status", give)
        endpoint.noteSuccess()
        leave(endpoint)
        give()
    }

    internal fun onUnusable(endpoint: EndpointState, reason: String) = onFailed(endpoint, reason, null)

    override fun onCallerGone() {
        if (stage == Stage.ENDED) return
        stopAttempt()
        end("caller-gone") {}
    }

    override fun onWritable() {
        attempt?.resumeReading()
    }

    /** Takes the right to send the request once more while an endpoint still has it; false if there is none. */
    internal fun mayMove(): Boolean = canRepeat() && dispatcher.takeRetry()

    internal fun onMoved(endpoint: EndpointState, reason: String) {
        endpoint.noteFailure(context.clock.monotonicMilliseconds(), isUnreachable = false)
        leave(endpoint)
        log("request.moved") {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
            put("possible-runs", possibleRuns)
        }
        waitAgain()
    }

    private fun canRepeat() = plan.route.rule != DispatchRule.AT_MOST_ONCE &&
        (!hasBegun || plan.route.rule == DispatchRule.RESUMABLE && lastEventId != null) &&
        possibleRuns < plan.route.maximumAttempts

    /** The caller leaves about now, because nothing of the answer has come. */
    private fun onAbandonTime() {
        if (stage == Stage.WAITING && possibleRuns == 0) notRun("overload", SHORT_RETRY_MILLISECONDS)
    }

    private fun onDeadline() {
        if (stage == Stage.ENDED) return
        stopAttempt()
        when {
            hasBegun -> breakOff("deadline")
            possibleRuns > 0 -> answerOwn(GATEWAY_TIMEOUT, "deadline", null)
            else -> notRun("deadline", SHORT_RETRY_MILLISECONDS)
        }
    }

    private fun stopAttempt() {
        val present = attempt
        if (stage == Stage.WAITING) dispatcher.remove(this)
        attempt = null
        present?.abandon()
        if (present != null) dispatcher.onEndpointFree()
    }

    private fun leave(endpoint: EndpointState) {
        plan.waiting.avoided.add(endpoint.listed.id)
        attempt = null
        dispatcher.onEndpointFree()
    }

    private fun waitAgain() {
        stage = Stage.WAITING
        dispatcher.enqueue(this)
    }

    private fun notRun(reason: String, retryAfterMilliseconds: Long) {
        plan.account?.let { context.ledger.giveBack(it.name, plan.units) }
        answerOwn(SERVICE_UNAVAILABLE, reason, retryAfterMilliseconds)
    }

    private fun answerOwn(status: Int, reason: String, retryAfterMilliseconds: Long?) = end(reason, status) {
        responder.answer(status, OwnAnswers.headers(retryAfterMilliseconds), Unpooled.EMPTY_BUFFER)
    }

    private fun breakOff(reason: String) = end("broken-off: $reason") { responder.abort() }

    private fun end(outcome: String, status: Int? = null, tell: () -> Unit) {
        if (stage == Stage.ENDED) return
        stage = Stage.ENDED
        deadlineTimer.cancel(false)
        abandonTimer.cancel(false)
        plan.request.body.release()
        onEnd()
        dispatcher.onEnded(this)
        val now = context.clock.monotonicMilliseconds()
        context.metrics.ended(outcome.substringBefore(':'))
        context.metrics.duration("total", plan.waiting.rank, now - plan.waiting.arrivedAt)
        log("request.ended") {
            put("outcome", outcome)
            status?.let { put("status", it) }
            put("milliseconds", now - plan.waiting.arrivedAt)
            if (hasBegun) put("first-event", firstEventAt - plan.waiting.arrivedAt)
            put("possible-runs", possibleRuns)
            put("rank", plan.waiting.rank)
            put("route-rank", plan.waiting.routeRank)
        }
        tell()
    }

    internal fun log(event: String, fields: org.guavahatch.gateway.observation.LogLine.() -> Unit) {
        context.log.write(event) {
            put("request", plan.id)
            put("route", plan.route.name)
            fields()
        }
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val MISDIRECTED = 421
        const val FIRST_SERVER_ERROR = 500

        /** Sends that were refused or did not reach an endpoint, before the caller is asked to come back. */
        const val MOST_REJECTIONS = 4

        /** A refusal must reach the caller before it leaves. */
        const val ANSWER_MARGIN_MILLISECONDS = 50L

        /** About the time in which a full pool frees some room. */
        const val SHORT_RETRY_MILLISECONDS = 200L
    }
}
