package org.guavahatch.gateway.request

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import org.guavahatch.gateway.caller.CallerRequestListener
import org.guavahatch.gateway.caller.CallerResponder
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.SendHistory
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
    private val history = SendHistory(plan.route.rule, plan.route.maximumAttempts)
    private val ending = RequestEnding(plan, responder, context, history, ::release)
    private val deadlineTimer = schedule(plan.waiting.deadline, ::onDeadline)
    private val abandonTimer = schedule(plan.waiting.abandonAt - ANSWER_MARGIN_MILLISECONDS, ::onAbandonTime)
    private var attempt: Attempt? = null

    /** Whether its answer has begun, so that another endpoint can only continue it. */
    val isContinuation: Boolean get() = history.hasBegun

    /** Sends the request to [endpoint]. */
    fun dispatch(endpoint: EndpointState) {
        val started = Attempt(this, endpoint, plan, context)
        attempt = started
        started.start(history.lastEventId, isLater = history.isTried)
    }

    /** Ends the request because nothing can serve it now. */
    fun refuse(reason: String, retryAfterMilliseconds: Long) {
        if (history.isNotRun) {
            ending.notRun(reason, retryAfterMilliseconds)
        } else {
            ending.fail(HttpResponseStatus.BAD_GATEWAY, reason)
        }
    }

    /** The endpoint could not be reached; nothing was sent. */
    internal fun onUnreachable(endpoint: EndpointState, reason: String) {
        history.noteUnreachable()
        endpoint.noteFailure(context.clock.monotonicMilliseconds(), isUnreachable = true)
        leave(endpoint)
        context.log.write("endpoint.unreachable", plan) {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
        }
        if (history.mayBeOfferedAgain) waitAgain() else refuse("unreachable", SHORT_RETRY_MILLISECONDS)
    }

    internal fun onSent() = history.noteSent()

    /** The endpoint told that it has not run the request. */
    internal fun onRejected(endpoint: EndpointState, status: HttpResponseStatus) {
        history.noteRejected()
        leave(endpoint)
        val now = context.clock.monotonicMilliseconds()
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST) endpoint.noteReplaced(now) else endpoint.noteFull(now)
        val isRetried = history.mayBeOfferedAgain && dispatcher.takeRetry()
        context.log.write("endpoint.rejected", plan) {
            put("endpoint", endpoint.listed.id)
            put("status", status.code())
            put("retried", isRetried)
        }
        if (isRetried) waitAgain() else refuse("rejected", SHORT_RETRY_MILLISECONDS)
    }

    /** The endpoint failed; [fallback] gives its own answer to the caller, if it made one. */
    internal fun onFailed(endpoint: EndpointState, reason: String, fallback: (() -> Unit)? = null) {
        endpoint.noteFailure(context.clock.monotonicMilliseconds(), isUnreachable = false)
        leave(endpoint)
        val isRetried = mayMove()
        context.log.write("endpoint.failed", plan) {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
            put("retried", isRetried)
            put("possible-runs", history.possibleRuns)
        }
        when {
            isRetried -> waitAgain()
            history.hasBegun -> ending.breakOff(reason)
            fallback != null -> fallback()
            else -> ending.fail(HttpResponseStatus.BAD_GATEWAY, reason)
        }
    }

    /** Passes [event] on; false if the caller has it already. */
    internal fun onEvent(event: StreamEvent, response: HttpResponse): Boolean {
        if (!history.noteEvent(event.id)) {
            event.bytes.release()
            return false
        }
        ending.begin(response)
        ending.noteEvent()
        responder.write(event.bytes)
        if (!responder.isWritable) attempt?.pauseReading()
        return true
    }

    internal fun onStreamComplete(endpoint: EndpointState, response: HttpResponse, rest: ByteBuf) {
        endpoint.noteSuccess()
        leave(endpoint)
        ending.begin(response)
        if (rest.isReadable) responder.write(rest) else rest.release()
        ending.complete()
    }

    internal fun onAnswer(endpoint: EndpointState, response: HttpResponse, body: ByteBuf) {
        val status = response.status().code()
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            return onFailed(endpoint, "status $status") { ending.answer(response, body) }
        }
        endpoint.noteSuccess()
        leave(endpoint)
        ending.answer(response, body)
    }

    /** Takes the right to send the request once more though an endpoint may have run it; false if there is none. */
    internal fun mayMove(): Boolean = history.canRepeat && dispatcher.takeRetry()

    internal fun onMoved(endpoint: EndpointState, reason: String) {
        endpoint.noteFailure(context.clock.monotonicMilliseconds(), isUnreachable = false)
        leave(endpoint)
        context.log.write("request.moved", plan) {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
            put("possible-runs", history.possibleRuns)
        }
        waitAgain()
    }

    override fun onCallerGone() {
        if (ending.isOver) return
        stopAttempt()
        ending.callerGone()
    }

    override fun onWritable() {
        attempt?.resumeReading()
    }

    /** The caller leaves about now, because nothing of the answer has come. */
    private fun onAbandonTime() {
        if (attempt == null && history.isNotRun) ending.notRun("overload", SHORT_RETRY_MILLISECONDS)
    }

    private fun onDeadline() {
        if (ending.isOver) return
        stopAttempt()
        when {
            history.hasBegun -> ending.breakOff("deadline")
            history.isNotRun -> ending.notRun("deadline", SHORT_RETRY_MILLISECONDS)
            else -> ending.fail(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline")
        }
    }

    private fun stopAttempt() {
        val present = attempt
        dispatcher.remove(this)
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
        plan.waiting.hasBegun = history.hasBegun
        dispatcher.enqueue(this)
    }

    private fun release() {
        deadlineTimer.cancel(false)
        abandonTimer.cancel(false)
        onEnd()
        dispatcher.onEnded(this)
    }

    private fun schedule(at: Long, action: () -> Unit): ScheduledFuture<*> {
        val delay = maxOf(0L, at - context.clock.monotonicMilliseconds())
        return context.loop.schedule(action, delay, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** A refusal must reach the caller before it leaves. */
        const val ANSWER_MARGIN_MILLISECONDS = 50L

        /** About the time in which a full pool frees some room. */
        const val SHORT_RETRY_MILLISECONDS = 200L
    }
}
