package org.guavahatch.gateway.request

import arrow.core.Either
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import org.guavahatch.gateway.endpoint.EndpointAnswer
import org.guavahatch.gateway.endpoint.EndpointConnection
import org.guavahatch.gateway.endpoint.EndpointUnreachable
import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.scheduling.direct.EndpointState
import java.util.concurrent.TimeUnit

/** One send of a request to one endpoint, until its answer ends. */
internal class Attempt(
    private val run: RequestRun,
    private val endpoint: EndpointState,
    private val plan: RequestPlan,
    private val context: RequestContext,
) : EndpointAnswer {
    private val splitter = EventSplitter()
    private val startedAt = context.clock.monotonicMilliseconds()
    private var connection: EndpointConnection? = null
    private var response: HttpResponse? = null
    private var isStream = false
    private var isResumed = false
    private var events = 0
    private var isOver = false
    private var unreadTokens = plan.waiting.promptTokens
    private var tokensAhead = 0L
    private var lastEventAt = 0L
    private var stallTimer: ScheduledFuture<*>? = null
    private var collected: ByteBuf = Unpooled.EMPTY_BUFFER
    private var heldBytes = 0L

    /** Connects and sends. */
    fun start(lastEventId: Long?, isLater: Boolean) {
        endpoint.noteSent(unreadTokens)
        tokensAhead = endpoint.prefillTokens
        val isOnce = plan.route.rule == DispatchRule.AT_MOST_ONCE
        val longestIdle = if (isOnce) LONGEST_IDLE_ONCE_MILLISECONDS else LONGEST_IDLE_MILLISECONDS
        context.connector.connect(endpoint.listed.address, longestIdle) { connected ->
            when (connected) {
                is Either.Left -> onUnreachable(connected.value)
                is Either.Right -> send(connected.value, lastEventId, isLater)
            }
        }
    }

    private fun onUnreachable(error: EndpointUnreachable) {
        if (isOver) return
        finish()
        run.onUnreachable(endpoint, error.reason)
    }

    private fun send(opened: EndpointConnection, lastEventId: Long?, isLater: Boolean) {
        if (isOver) return opened.abandon()
        connection = opened
        isResumed = lastEventId != null
        val now = context.clock.monotonicMilliseconds()
        val budget = maxOf(1L, plan.waiting.deadline - now)
        val request = context.messages.request(plan, endpoint.listed.id, budget, lastEventId)
        run.onSent()
        val kind = if (lastEventId != null) {
            "resume"
        } else if (isLater) {
            "retry"
        } else {
            "first"
        }
        context.metrics.sent(plan.pool, kind)
        context.metrics.duration("queue", plan.waiting.rank, now - plan.waiting.arrivedAt)
        context.log.write("request.sent", plan) {
            put("endpoint", endpoint.listed.id)
            put("kind", kind)
            put("waited", now - plan.waiting.arrivedAt)
            put("budget", budget)
            put("configuration", plan.configurationVersion)
            put("own-requests", endpoint.ownRequests)
            put("peer-requests", endpoint.peerRequests)
            putTokens(plan)
            if (plan.waiting.promptTokens > 0) put("prefill-tokens", endpoint.prefillTokens)
            endpoint.prefillMillisecondsPerToken?.let { put("prefill-pace", it) }
            endpoint.sustainedPaceMilliseconds?.let { put("pace", it) }
            plan.account?.let { put("account", it.name) }
            put("units", plan.units)
        }
        opened.send(request, plan.id, this)
        watch(firstAnswerLimit())
    }

    /** Closes the connection, so that the endpoint stops. */
    fun abandon() {
        if (isOver) return
        finish()
        connection?.abandon()
    }

    fun pauseReading() {
        connection?.channel?.config()?.isAutoRead = false
    }

    fun resumeReading() {
        connection?.channel?.config()?.isAutoRead = true
    }

    override fun onHead(response: HttpResponse) {
        if (isOver) return
        this.response = response
        presentRequests(response)?.let { endpoint.notePresent(it, context.clock.monotonicMilliseconds()) }
        val isEvents = response.headers().get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith("text/event-stream")
        isStream = isEvents && response.status() == HttpResponseStatus.OK
    }

    /** Requests running and waiting at the endpoint as it told, or null if it did not. */
    private fun presentRequests(response: HttpResponse): Int? {
        val figures = response.headers().get(context.headers.load)?.split(',') ?: return null
        val running = figures.getOrNull(0)?.trim()?.toIntOrNull() ?: return null
        val waiting = figures.getOrNull(1)?.trim()?.toIntOrNull() ?: return null
        return running + waiting
    }

    override fun onData(data: ByteBuf) {
        if (isOver) return
        if (isStream) splitter.feed(data, ::onEvent) else collect(data)
        if (isOver) return
        hold((splitter.restBytes + collected.readableBytes()).toLong())
        if (heldBytes > 0 && !context.heldAnswers.hasRoom(0)) breakOff("no room for the answer")
    }

    private fun hold(bytes: Long) {
        context.heldAnswers.add(bytes - heldBytes)
        heldBytes = bytes
    }

    private fun breakOff(reason: String) {
        connection?.abandon()
        onBroken(reason)
    }

    private fun collect(data: ByteBuf) {
        if (!collected.isReadable) collected = Unpooled.buffer(maxOf(data.readableBytes(), SMALL))
        collected.writeBytes(data)
    }

    private fun onEvent(event: StreamEvent) {
        if (isOver) {
            event.bytes.release()
            return
        }
        val now = context.clock.monotonicMilliseconds()
        if (unreadTokens > 0) {
            endpoint.notePrefilled(unreadTokens)
            endpoint.noteFirstEvent(tokensAhead, now - startedAt)
        }
        unreadTokens = 0
        if (lastEventAt != 0L) endpoint.notePace((now - lastEventAt).toDouble())
        lastEventAt = now
        events++
        if (run.onEvent(event, checkNotNull(response))) connection?.noteProgress()
    }

    override fun onComplete() {
        if (isOver) return
        val head = checkNotNull(response)
        val status = head.status()
        val isNotRun = status == HttpResponseStatus.MISDIRECTED_REQUEST ||
            head.headers().contains(context.headers.notRun)
        finish()
        when {
            isStream -> {
                if (!isResumed) plan.waiting.estimatedTokens?.let { endpoint.noteLength(it, events) }
                run.onStreamComplete(endpoint, head, splitter.takeRest())
            }
            isNotRun -> run.onRejected(endpoint, status)
            else -> {
                if (status == HttpResponseStatus.OK &&
                    plan.waiting.promptTokens == 0L
                ) {
                    endpoint.notePace(elapsed().toDouble())
                }
                run.onAnswer(endpoint, head, collected)
            }
        }
    }

    override fun onBroken(cause: String) {
        if (isOver) return
        finish()
        run.onFailed(endpoint, cause)
    }

    private fun elapsed() = context.clock.monotonicMilliseconds() - startedAt

    private fun firstAnswerLimit() = if (plan.route.isStream) {
        plan.route.targetLatencyMilliseconds * FIRST_EVENT_TARGETS
    } else {
        plan.route.timeoutMilliseconds / 2
    }

    /** Gives a request that may be repeated to another endpoint if this one is silent for too long. */
    private fun watch(limit: Long) {
        if (!plan.route.isRepeatable) return
        stallTimer = context.loop.schedule(::checkStall, limit, TimeUnit.MILLISECONDS)
    }

    private fun checkStall() {
        if (isOver) return
        val now = context.clock.monotonicMilliseconds()
        val pause = maxOf(SHORTEST_STALL_MILLISECONDS, (plan.route.maximumPauseMilliseconds ?: 0) * STALL_PAUSES)
        val limit = if (lastEventAt == 0L) firstAnswerLimit() else pause
        val silence = now - if (lastEventAt == 0L) startedAt else lastEventAt
        if (silence < limit) {
            watch(limit - silence)
            return
        }
        if (!run.mayMove()) {
            watch(limit)
            return
        }
        finish()
        connection?.abandon()
        run.onMoved(endpoint, "silent for $silence ms")
    }

    private fun finish() {
        isOver = true
        stallTimer?.cancel(false)
        hold(0)
        endpoint.noteEnded(unreadTokens)
        resumeReading()
    }

    private companion object {
        const val SMALL = 256

        /** A kept connection may be closed under a request; one that must not be lost takes a fresher one. */
        const val LONGEST_IDLE_ONCE_MILLISECONDS = 1_000L
        const val LONGEST_IDLE_MILLISECONDS = 4_000L

        /** Latency objectives without a first event after which another endpoint is tried. */
        const val FIRST_EVENT_TARGETS = 2

        /** Pauses between events, as multiples of the objective, after which another endpoint is tried. */
        const val STALL_PAUSES = 4
        const val SHORTEST_STALL_MILLISECONDS = 1_000L
    }
}
