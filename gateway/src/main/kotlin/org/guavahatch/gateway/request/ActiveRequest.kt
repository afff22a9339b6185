package org.guavahatch.gateway.request

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import org.guavahatch.gateway.caller.CallerRequestListener
import org.guavahatch.gateway.caller.CallerResponder
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.SendHistory
import org.guavahatch.scheduling.quarantine.EndpointProcess
import org.guavahatch.scheduling.zone.OtherZoneReason
import java.util.concurrent.TimeUnit

/**
 * An accepted request until it ends: it is queued, sent to an endpoint, perhaps resent to another one, and completed
 * exactly once.
 *
 * A status that guarantees "not run" is returned only while no endpoint can have run the request.
 */
class ActiveRequest(
    val plan: RequestPlan,
    private val responder: CallerResponder,
    private val dispatcher: PoolDispatcher,
    private val context: RequestContext,
) : CallerRequestListener {
    private val history = SendHistory(plan.route.dispatchRule, plan.route.maximumAttempts)
    private val completion = RequestCompletion(plan, responder, context, history, ::onCompleted)
    private val deadlineTimer = schedule(plan.waiting.deadline, ::onDeadline)
    private val patienceTimer =
        schedule(plan.waiting.patienceEndsAt - RESPONSE_MARGIN_MILLISECONDS, ::onPatienceExpired)
    private var attempt: Attempt? = null

    /** Whether its response has begun, so that another endpoint can only resume the stream. */
    val isContinuation: Boolean get() = history.hasAnswerBegun

    /** Whether the key of the request was withdrawn while it waited. */
    val isKeyWithdrawn: Boolean get() = !isContinuation && context.permissions.isKeyWithdrawn(plan)

    /**
     * Whether the request may be sent at [now]: its deadline may have passed or its key may have been withdrawn while
     * the process was paused.
     */
    fun maySendAt(now: Long): Boolean =
        now < plan.waiting.deadline && (isContinuation || context.permissions.isKeyAccepted(plan))

    /** Sends the request to [endpoint]; [otherZoneReason] says why it leaves the zone of the gateway, if it does. */
    fun dispatch(endpoint: EndpointState, otherZoneReason: OtherZoneReason? = null) {
        val newAttempt = Attempt(this, endpoint, plan, context, otherZoneReason)
        attempt = newAttempt
        newAttempt.start(history.lastEventId, isRetry = history.hasBeenSent)
    }

    /** Ends the request because no endpoint can serve it now. */
    fun refuse(reason: String, retryAfterMilliseconds: Long) {
        when {
            history.hasAnswerBegun -> completion.abort(reason)
            history.isNotRun -> completion.notRun(reason, retryAfterMilliseconds)
            else -> completion.fail(HttpResponseStatus.BAD_GATEWAY, reason)
        }
    }

    /** Ends the request because no endpoint took it; if it has not run, its caller returns as planned for the pool. */
    private fun refuseForReturn(reason: String) {
        val planned = if (history.isNotRun && !history.hasAnswerBegun) dispatcher.planReturn(plan.waiting) else null
        refuse(reason, planned ?: RETRY_AFTER_MILLISECONDS)
    }

    /** The endpoint could not be reached; nothing was sent. */
    internal fun onUnreachable(endpoint: EndpointState, reason: String) {
        history.recordUnreachable()
        endpoint.recordFailure(context.clock.monotonicMilliseconds(), isUnreachable = true)
        releaseEndpoint(endpoint)
        context.log.write("endpoint.unreachable", plan) {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
        }
        if (history.mayTryAnotherEndpoint) requeue() else refuseForReturn("unreachable")
    }

    /** Numbers of the connections on which the request was sent. */
    internal val usedConnections: Set<Long> get() = history.usedConnections

    /** Counts a send on the connection numbered [connection] and returns the number of the send. */
    internal fun onSent(connection: Long): Int {
        completion.noteSent()
        return history.recordSent(connection)
    }

    /** The endpoint reported that it has not run the request. */
    internal fun onRejected(endpoint: EndpointState, status: HttpResponseStatus) {
        val trace = attempt?.trace
        history.recordRejected()
        releaseEndpoint(endpoint)
        val now = context.clock.monotonicMilliseconds()
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST) endpoint.recordReplaced(now) else endpoint.recordFull(now)
        val isRetried = history.mayTryAnotherEndpoint && dispatcher.acquireRetry()
        context.log.write("endpoint.rejected", plan) {
            put("endpoint", endpoint.listed.id)
            put("status", status.code())
            put("retried", isRetried)
            putTrace(trace, now)
        }
        if (isRetried) requeue() else refuseForReturn("rejected")
    }

    /** The connection to the endpoint failed, or its response cannot be read, before the response was complete. */
    internal fun onLost(endpoint: EndpointState, reason: String, lost: LostAttempt) {
        context.log.write("request.lost", plan) {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
            put("events", lost.events)
            put("milliseconds", lost.milliseconds)
            putTrace(attempt?.trace, context.clock.monotonicMilliseconds())
            put("own-requests", endpoint.ownRequests)
            put("peer-requests", endpoint.peerRequests)
            put("prefill-tokens", endpoint.prefillTokens)
            if (plan.parts.own != null) put("prompt-parts", plan.parts)
        }
        val process = EndpointProcess(endpoint.listed.id, endpoint.listed.incarnation)
        val isLeaving = endpoint.isClosed
        context.processEnds.onRequestLost(endpoint.listed) { onProcessEnded(process, isLeaving, lost, it) }
        onFailed(endpoint, reason)
    }

    private fun onProcessEnded(process: EndpointProcess, isLeaving: Boolean, lost: LostAttempt, reason: String) {
        context.metrics.countLost(plan.pool)
        context.log.write("endpoint.ended", plan) {
            put("endpoint", process.id)
            put("process", process.incarnation ?: 0)
            put("leaving", isLeaving)
            put("answering", lost.isAnswering)
            put("reason", reason)
        }
        if (!isLeaving && !lost.isAnswering) context.quarantine.onCrash(process, plan.parts)
    }

    /** Ends the request if it is in quarantine, unless an endpoint is answering it. */
    fun endIfQuarantined() {
        if (completion.isCompleted || isContinuation) return
        val hold = context.quarantine.holdMilliseconds(plan.parts) ?: return
        cancelAttempt()
        refuse(QUARANTINED, hold)
    }

    /** Ends the request because the process stops. */
    internal fun endForStop() {
        if (completion.isCompleted) return
        cancelAttempt()
        refuse(STOPPING, RETRY_AFTER_MILLISECONDS)
    }

    /** The endpoint failed; [fallback] forwards its error response to the caller, if it sent one. */
    internal fun onFailed(endpoint: EndpointState, reason: String, fallback: (() -> Unit)? = null) {
        val trace = attempt?.trace
        val now = context.clock.monotonicMilliseconds()
        endpoint.recordFailure(now, isUnreachable = false)
        releaseEndpoint(endpoint)
        val isRetried = acquireRepeat()
        context.log.write("endpoint.failed", plan) {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
            put("retried", isRetried)
            put("possible-runs", history.possibleRuns)
            putTrace(trace, now)
        }
        when {
            isRetried -> requeue()
            history.hasAnswerBegun -> completion.abort(reason)
            fallback != null -> fallback()
            else -> completion.fail(HttpResponseStatus.BAD_GATEWAY, reason)
        }
    }

    /** The first event of an attempt arrived [milliseconds] after it started. */
    internal fun onFirstEvent(milliseconds: Long) =
        dispatcher.forecasts.firstEvents.record(plan.waiting.promptTokens, milliseconds)

    /** Forwards [event] to the caller; false if the caller already has it. */
    internal fun onEvent(event: StreamEvent, response: HttpResponse): Boolean {
        if (!history.recordEvent(event.id)) {
            event.bytes.release()
            return false
        }
        completion.beginResponse(response)
        completion.noteEvent()
        responder.write(event.bytes)
        if (!responder.mayReadOn) attempt?.pauseReading()
        return true
    }

    /** An endpoint has answered the request with [bytes] of body [milliseconds] after it was sent there. */
    internal fun onAnswered(milliseconds: Long, bytes: Long) = dispatcher.recordAnswer(plan, milliseconds, bytes)

    /** The stream of the endpoint has ended; [trailer] holds comments after its last event. */
    internal fun onStreamComplete(endpoint: EndpointState, response: HttpResponse, trailer: ByteBuf) {
        endpoint.recordSuccess()
        releaseEndpoint(endpoint)
        completion.beginResponse(response)
        if (trailer.isReadable) responder.write(trailer) else trailer.release()
        completion.completeStream()
    }

    internal fun onResponse(endpoint: EndpointState, response: HttpResponse, body: ByteBuf) {
        val status = response.status().code()
        if (history.hasAnswerBegun) return onFailed(endpoint, "status $status instead of the rest of a stream")
        if (status in NOT_RUN_STATUSES) {
            return onFailed(endpoint, "status $status without a statement that it was not run")
        }
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            return onFailed(endpoint, "status $status") { completion.respond(response, body) }
        }
        endpoint.recordSuccess()
        releaseEndpoint(endpoint)
        completion.respond(response, body)
    }

    /** Takes a retry for a request that an endpoint may have run; false if it may not be repeated or none is left. */
    internal fun acquireRepeat(): Boolean =
        history.canRepeat && context.permissions.isRepeatAllowed(plan) && dispatcher.acquireRetry()

    internal fun onStalled(endpoint: EndpointState, reason: String) {
        val trace = attempt?.trace
        val now = context.clock.monotonicMilliseconds()
        endpoint.recordFailure(now, isUnreachable = false)
        releaseEndpoint(endpoint)
        context.log.write("request.moved", plan) {
            put("endpoint", endpoint.listed.id)
            put("reason", reason)
            put("possible-runs", history.possibleRuns)
            putTrace(trace, now)
        }
        requeue()
    }

    override fun onCallerGone() {
        if (completion.isCompleted) return
        attempt?.giveUp(isDeadline = false)
        cancelAttempt()
        completion.callerGone()
    }

    override fun onWritable() {
        attempt?.resumeReading()
    }

    /** The caller is about to disconnect, as it has received no part of the response. */
    private fun onPatienceExpired() {
        if (attempt != null || !history.isNotRun) return
        completion.notRun("overload", dispatcher.planReturn(plan.waiting) ?: RETRY_AFTER_MILLISECONDS)
    }

    private fun onDeadline() {
        if (completion.isCompleted) return
        attempt?.giveUp(isDeadline = true)
        cancelAttempt()
        when {
            history.hasAnswerBegun -> completion.abort("deadline")
            history.isNotRun -> completion.notRun("deadline", RETRY_AFTER_MILLISECONDS)
            else -> completion.fail(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline")
        }
    }

    private fun cancelAttempt() {
        val current = attempt
        dispatcher.remove(this)
        attempt = null
        current?.cancel()
        if (current != null) dispatcher.onCapacityFreed()
    }

    private fun releaseEndpoint(endpoint: EndpointState) {
        plan.waiting.avoidedEndpoints.add(endpoint.listed.id)
        attempt = null
        dispatcher.onCapacityFreed()
    }

    private fun requeue() {
        if (!isContinuation) {
            context.quarantine.holdMilliseconds(plan.parts)?.let { return refuse(QUARANTINED, it) }
        }
        plan.waiting.hasAnswerBegun = history.hasAnswerBegun
        dispatcher.enqueue(this)
    }

    private fun onCompleted() {
        deadlineTimer.cancel(false)
        patienceTimer.cancel(false)
        dispatcher.onEnded(this)
    }

    private fun schedule(at: Long, action: () -> Unit): ScheduledFuture<*> {
        val delay = maxOf(0L, at - context.clock.monotonicMilliseconds())
        return context.loop.schedule(action, delay, TimeUnit.MILLISECONDS)
    }

    companion object {
        /** Outcome of a request whose prompt is in quarantine. */
        const val QUARANTINED = "quarantined"

        /** Outcome of a request that a planned stop has ended. */
        const val STOPPING = "stopping"

        /** Lets a refusal reach the caller before it disconnects. */
        private const val RESPONSE_MARGIN_MILLISECONDS = 50L

        /** Approximate time in which a full pool frees capacity. */
        private const val RETRY_AFTER_MILLISECONDS = 200L

        /** Statuses that tell a caller that its request was not run; an endpoint must mark a response that means it. */
        private val NOT_RUN_STATUSES = setOf(
            HttpResponseStatus.REQUEST_TIMEOUT.code(),
            HttpResponseStatus.TOO_MANY_REQUESTS.code(),
            HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
        )
    }
}
