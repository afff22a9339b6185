package org.guavahatch.gateway.request

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import org.guavahatch.model.forwarding.ForwardingRoute
import org.guavahatch.model.time.Clock
import java.util.concurrent.TimeUnit

/**
 * Detects that the endpoint of an attempt is silent, so that a repeatable request can move to another endpoint.
 *
 * The first event may take twice the latency objective, or half of the timeout on a route without streams; each later
 * one four times the longest pause. Times in which the response is not read, because the caller reads too slowly, do
 * not count.
 *
 * @param startedAt monotonic time at which the attempt began, in milliseconds
 * @property onStalled called with the milliseconds of silence; returns whether the attempt has ended, and is called
 * again after the same limit if not
 */
internal class StallMonitor(
    private val route: ForwardingRoute,
    private val clock: Clock,
    private val loop: EventLoop,
    startedAt: Long,
    private val onStalled: (silenceMilliseconds: Long) -> Boolean,
) {
    private var silentSince = startedAt
    private var isReadingPaused = false
    private var isStopped = false
    private var timer: ScheduledFuture<*>? = null
    private var checkDueAt = 0L
    private var isCheckPostponed = false

    /** Monotonic time of the last event in milliseconds, or 0 before the first one. */
    var lastEventAt = 0L
        private set

    /** Starts to watch, as the request has been sent. */
    fun start() = scheduleCheck(firstEventLimit())

    /** Records an event at [now]; returns the milliseconds since the last one, or null if reading paused meanwhile. */
    fun recordEvent(now: Long): Long? {
        val interval = (now - lastEventAt).takeIf { lastEventAt != 0L && silentSince == lastEventAt }
        lastEventAt = now
        silentSince = now
        return interval
    }

    fun pause() {
        isReadingPaused = true
    }

    fun resume() {
        if (!isReadingPaused) return
        isReadingPaused = false
        silentSince = clock.monotonicMilliseconds()
    }

    /** Stops watching, as the attempt has ended. */
    fun stop() {
        isStopped = true
        timer?.cancel(false)
    }

    private fun firstEventLimit() = if (route.isStream) {
        route.targetLatencyMilliseconds * FIRST_EVENT_LATENCY_TARGETS
    } else {
        route.timeoutMilliseconds / 2
    }

    private fun scheduleCheck(delay: Long) {
        if (!route.isRepeatable) return
        checkDueAt = clock.monotonicMilliseconds() + delay
        timer = loop.schedule(::check, delay, TimeUnit.MILLISECONDS)
    }

    private fun check() {
        if (isStopped) return
        val now = clock.monotonicMilliseconds()
        val pause = maxOf(MINIMUM_STALL_MILLISECONDS, (route.maximumPauseMilliseconds ?: 0) * STALL_PAUSE_MULTIPLE)
        val limit = if (lastEventAt == 0L) firstEventLimit() else pause
        val silence = if (isReadingPaused) 0 else now - silentSince
        if (silence < limit) {
            isCheckPostponed = false
            return scheduleCheck(limit - silence)
        }
        // After a pause of this process, what the endpoint has sent meanwhile is still to be read.
        if (now - checkDueAt > LATE_CHECK_MILLISECONDS && !isCheckPostponed) {
            isCheckPostponed = true
            return scheduleCheck(READ_AFTER_PAUSE_MILLISECONDS)
        }
        if (!onStalled(silence)) scheduleCheck(limit)
    }

    private companion object {
        /** Time to the first event, in latency targets, after which another endpoint is tried. */
        const val FIRST_EVENT_LATENCY_TARGETS = 2

        /** Time without an event, in multiples of the route's maximum pause, after which another endpoint is tried. */
        const val STALL_PAUSE_MULTIPLE = 4
        const val MINIMUM_STALL_MILLISECONDS = 1_000L

        /** Delay of a check from which on the process counts as paused. */
        const val LATE_CHECK_MILLISECONDS = 100L

        /** Longer than the shortest time after which a peer sends lost packets again. */
        const val READ_AFTER_PAUSE_MILLISECONDS = 300L
    }
}
