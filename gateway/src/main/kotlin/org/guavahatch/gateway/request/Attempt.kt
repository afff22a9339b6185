package org.guavahatch.gateway.request

import arrow.core.Either
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import org.guavahatch.gateway.endpoint.EndpointConnection
import org.guavahatch.gateway.endpoint.EndpointResponseListener
import org.guavahatch.gateway.endpoint.EndpointUnreachable
import org.guavahatch.gateway.endpoint.RetryAfterHeader
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.memory.EngineMemory
import org.guavahatch.scheduling.zone.OtherZoneReason

/** One attempt to run a request on one endpoint, until its response ends. */
internal class Attempt(
    private val request: ActiveRequest,
    private val endpoint: EndpointState,
    private val plan: RequestPlan,
    private val context: RequestContext,
    private val otherZoneReason: OtherZoneReason?,
) : EndpointResponseListener {
    private val splitter = EventSplitter()
    private val observation = RolloutObservation(context.rollouts, plan, endpoint)
    private val startedAt = context.clock.monotonicMilliseconds()
    private var connection: EndpointConnection? = null
    private var response: HttpResponse? = null
    private var isStream = false
    private var isResumed = false
    private var events = 0
    private var isEnded = false
    private val heldTokens = EngineMemory.tokensOf(plan.waiting)
    private var pendingPrefillTokens = plan.waiting.promptTokens
    private var prefillTokensAtStart = 0L
    private var firstEventAt = 0L
    private val stallMonitor = StallMonitor(plan.route, context.clock, context.loop, startedAt, ::onSilent)
    private var isAnswering = false
    private var hasSkipped = false
    private var bufferedBody: ByteBuf = Unpooled.EMPTY_BUFFER
    private var answerBytes = 0L
    private var bufferedBytes = 0L

    /** The send of the request, or null while it is connecting. */
    var trace: AttemptTrace? = null
        private set

    /** Connects to the endpoint and sends the request. */
    fun start(lastEventId: Long?, isRetry: Boolean) {
        endpoint.recordSent(pendingPrefillTokens, heldTokens)
        observation.begin()
        prefillTokensAtStart = endpoint.prefillTokens
        // A late copy of the response to an earlier send has the same request id, so it must not arrive here.
        val excluded = request.usedConnections
        context.connector.connect(endpoint.listed.address, maximumIdleMilliseconds, excluded) { connected ->
            when (connected) {
                is Either.Left -> onUnreachable(connected.value)
                is Either.Right -> send(connected.value, lastEventId, isRetry)
            }
        }
    }

    private val maximumIdleMilliseconds: Long
        get() = if (plan.route.isRepeatable) MAXIMUM_IDLE_MILLISECONDS else MAXIMUM_IDLE_AT_MOST_ONCE_MILLISECONDS

    private fun onUnreachable(error: EndpointUnreachable) {
        if (isEnded) return
        observation.onUnreachable()
        finish()
        request.onUnreachable(endpoint, error.reason)
    }

    private fun send(opened: EndpointConnection, lastEventId: Long?, isRetry: Boolean) {
        if (isEnded) return opened.reset()
        connection = opened
        isResumed = lastEventId != null
        val now = context.clock.monotonicMilliseconds()
        val budget = maxOf(1L, plan.waiting.deadline - now)
        val message = context.messages.request(plan, endpoint.listed.id, budget, lastEventId)
        val sent = AttemptTrace(request.onSent(opened.number), opened.number, now)
        trace = sent
        observation.onSent(now)
        val kind = if (lastEventId != null) {
            "resume"
        } else if (isRetry) {
            "retry"
        } else {
            "first"
        }
        context.metrics.countSend(plan.pool, kind)
        context.metrics.countZone(plan.pool, hasLeftZone = endpoint.listed.zone != context.zone)
        context.metrics.recordDuration("queue", plan.waiting.rank, now - plan.waiting.arrivedAt)
        context.log.write("request.sent", plan) {
            put("endpoint", endpoint.listed.id)
            put("address", endpoint.listed.address)
            put("zone", endpoint.listed.zone)
            otherZoneReason?.let { put("other-zone-reason", it.text) }
            put("kind", kind)
            put("send", sent.send)
            put("connection", sent.connection)
            put("connection-requests", opened.requests)
            put("waited", now - plan.waiting.arrivedAt)
            put("budget", budget)
            put("configuration", plan.configurationVersion)
            put("own-requests", endpoint.ownRequests)
            put("peer-requests", endpoint.peerRequests)
            putTokens(plan)
            if (plan.parts.own != null) put("prompt-parts", plan.parts)
            if (plan.waiting.promptTokens > 0) put("prefill-tokens", endpoint.prefillTokens)
            if (heldTokens > 0) put("engine-tokens", endpoint.ownTokens + endpoint.peerTokens)
            endpoint.prefillMillisecondsPerToken?.let { put("prefill-pace", it) }
            endpoint.sustainedPaceMilliseconds?.let { put("pace", it) }
            plan.account?.let { put("account", it.name) }
            put("units", plan.units)
        }
        opened.send(message, plan.id, this)
        stallMonitor.start()
    }

    /** Ends the attempt, as the deadline has passed or the caller has gone. */
    fun giveUp(isDeadline: Boolean) {
        if (isEnded) return
        observation.onGivenUp(events, context.clock.monotonicMilliseconds(), isDeadline)
        cancel()
    }

    /** Resets the connection, so that the endpoint stops running the request. */
    fun cancel() {
        if (isEnded) return
        finish()
        connection?.reset()
    }

    /** Stops reading, because the caller reads too slowly. The endpoint is not considered silent meanwhile. */
    fun pauseReading() {
        stallMonitor.pause()
        observation.isPaused = true
        connection?.channel?.config()?.isAutoRead = false
    }

    fun resumeReading() {
        stallMonitor.resume()
        connection?.channel?.config()?.isAutoRead = true
    }

    override fun onHead(response: HttpResponse) {
        if (isEnded) return
        this.response = response
        reportedRequests(response)?.let { endpoint.recordReportedRequests(it, context.clock.monotonicMilliseconds()) }
        noteWishes(response)
        val isEvents = response.headers().get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith("text/event-stream")
        isStream = isEvents && response.status() == HttpResponseStatus.OK
    }

    override fun onSkipped(response: HttpResponse) {
        context.metrics.countSkipped(plan.pool)
        if (hasSkipped) return
        hasSkipped = true
        context.log.write("response.skipped", plan) {
            put("endpoint", endpoint.listed.id)
            put("status", response.status().code())
            put("received-request", response.headers().get(context.headers.requestId).orEmpty())
            putTrace(trace, context.clock.monotonicMilliseconds())
        }
    }

    /** Notes that the endpoint is leaving, or that it wants no requests for some time. */
    private fun noteWishes(response: HttpResponse) {
        // Another process answers with 421 at the endpoint's address.
        if (response.status() == HttpResponseStatus.MISDIRECTED_REQUEST) return
        val isLeaving = response.headers().get(context.headers.endpointLeaving)?.trim() == LEAVING
        if (isLeaving && !endpoint.hasAnnouncedLeaving) {
            endpoint.recordLeaving()
            context.log.write("endpoint.leaving", plan) { put("endpoint", endpoint.listed.id) }
        }
        if (response.status() != HttpResponseStatus.SERVICE_UNAVAILABLE) return
        val pause = RetryAfterHeader.delayMilliseconds(response.headers().get(HttpHeaderNames.RETRY_AFTER)) ?: return
        endpoint.recordPause(context.clock.monotonicMilliseconds(), pause)
        context.log.write("endpoint.paused", plan) {
            put("endpoint", endpoint.listed.id)
            put("milliseconds", pause)
        }
    }

    /** Requests running and waiting at the endpoint according to [response], or null if it reports none. */
    private fun reportedRequests(response: HttpResponse): Int? {
        val figures = response.headers().get(context.headers.endpointLoad)?.split(',') ?: return null
        val running = figures.getOrNull(0)?.trim()?.toIntOrNull() ?: return null
        val waiting = figures.getOrNull(1)?.trim()?.toIntOrNull() ?: return null
        return running + waiting
    }

    override fun onData(data: ByteBuf) {
        if (isEnded) return
        answerBytes += data.readableBytes()
        if (isStream) splitter.feed(data, ::onEvent) else collect(data)
        if (isEnded) return
        updateBufferedBytes((splitter.remainderBytes + bufferedBody.readableBytes()).toLong())
        if (bufferedBytes > 0 && !context.bufferedResponses.hasCapacityFor(0)) abort("no room for the answer")
    }

    private fun updateBufferedBytes(bytes: Long) {
        context.bufferedResponses.add(bytes - bufferedBytes)
        bufferedBytes = bytes
    }

    private fun abort(reason: String) {
        connection?.reset()
        observation.ignore()
        onFailure(reason)
    }

    private fun collect(data: ByteBuf) {
        if (!bufferedBody.isReadable) bufferedBody = Unpooled.buffer(maxOf(data.readableBytes(), INITIAL_BUFFER_BYTES))
        bufferedBody.writeBytes(data)
    }

    private fun onEvent(event: StreamEvent) {
        if (isEnded) {
            event.bytes.release()
            return
        }
        val now = context.clock.monotonicMilliseconds()
        if (pendingPrefillTokens > 0) {
            endpoint.recordPrefilled(pendingPrefillTokens)
            endpoint.recordFirstEvent(prefillTokensAtStart, now - startedAt)
            request.onFirstEvent(now - startedAt)
        }
        pendingPrefillTokens = 0
        if (firstEventAt == 0L) firstEventAt = now
        if (now - firstEventAt >= ANSWERING_MILLISECONDS) noteAnswering()
        stallMonitor.recordEvent(now)?.let { endpoint.recordPace(it.toDouble()) }
        events++
        if (request.onEvent(event, checkNotNull(response))) connection?.noteProgress()
    }

    private fun noteAnswering() {
        if (isAnswering) return
        isAnswering = true
        context.quarantine.onAnswered(plan.parts)
    }

    /** A stream that ends inside an event, or before its first one with the connection, was broken off. */
    override val isBodyWhole: Boolean get() {
        val head = response.takeIf { isStream } ?: return true
        val isEmpty = events == 0 && !EndpointConnection.isSelfDelimited(head)
        return !splitter.isInsideEvent && !isEmpty
    }

    override fun onComplete() {
        if (isEnded) return
        val head = checkNotNull(response)
        if (isStream) return onStreamEnd(head)
        val status = head.status()
        val isNotRun = status == HttpResponseStatus.MISDIRECTED_REQUEST ||
            head.headers().contains(context.headers.notRun)
        if (!isNotRun) observation.onResponse(status.code(), context.clock.monotonicMilliseconds())
        finish()
        if (isNotRun) return request.onRejected(endpoint, status)
        if (status == HttpResponseStatus.OK) {
            noteAnswering()
            request.onAnswered(elapsed(), answerBytes)
            if (plan.waiting.promptTokens == 0L) endpoint.recordWork(elapsed().toDouble())
        }
        request.onResponse(endpoint, head, bufferedBody)
    }

    private fun onStreamEnd(head: HttpResponse) {
        observation.onStreamEnd(events, firstEventAt, stallMonitor.lastEventAt)
        finish()
        noteAnswering()
        if (!isResumed) {
            request.onAnswered(elapsed(), answerBytes)
            plan.waiting.estimatedTokens?.let { endpoint.recordLength(it, events) }
        }
        request.onStreamComplete(endpoint, head, splitter.takeRemainder())
    }

    override fun onFailure(reason: String) {
        if (isEnded) return
        observation.onFailure(isLost = connection?.isLost == true)
        finish()
        request.onLost(endpoint, reason, LostAttempt(events, elapsed(), isAnswering))
    }

    private fun elapsed() = context.clock.monotonicMilliseconds() - startedAt

    private fun onSilent(silenceMilliseconds: Long): Boolean {
        if (!request.acquireRepeat()) return false
        observation.onSilent()
        finish()
        connection?.reset()
        request.onStalled(endpoint, "silent for $silenceMilliseconds ms")
        return true
    }

    private fun finish() {
        isEnded = true
        stallMonitor.stop()
        updateBufferedBytes(0)
        endpoint.recordEnded(pendingPrefillTokens, heldTokens)
        observation.ignore()
        resumeReading()
    }

    private companion object {
        const val INITIAL_BUFFER_BYTES = 256

        /** Value of the header by which an endpoint says that it is leaving. */
        const val LEAVING = "1"

        /** Time after the first event for which an endpoint that a request ends may still send events. */
        const val ANSWERING_MILLISECONDS = 250L

        /**
         * The endpoint may close an idle connection just as a request is sent on it. At-most-once requests cannot be
         * resent, so they use only connections that were idle for a shorter time.
         */
        const val MAXIMUM_IDLE_AT_MOST_ONCE_MILLISECONDS = 1_000L
        const val MAXIMUM_IDLE_MILLISECONDS = 4_000L
    }
}
