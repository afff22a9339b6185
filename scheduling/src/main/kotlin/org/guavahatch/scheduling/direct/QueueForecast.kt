package org.guavahatch.scheduling.direct

/**
 * Predicts how long a request will wait from the rate of recent dispatches.
 *
 * When the load is well above the capacity of the endpoints, a request that cannot be dispatched in time is refused
 * immediately, so that its caller retries after the peak instead of waiting until it times out.
 */
public class QueueForecast {
    private val dispatchInterval = MovingAverage(INTERVAL_WEIGHT)
    private var lastDispatchAt: Long? = null

    /**
     * Records that a waiting request was dispatched at [now].
     *
     * @param hasMoreWaiting whether other requests still wait; if not, the time until the next dispatch is not measured
     */
    public fun recordDispatch(now: Long, hasMoreWaiting: Boolean) {
        lastDispatchAt?.let { dispatchInterval.add((now - it).toDouble()) }
        lastDispatchAt = if (hasMoreWaiting) now else null
    }

    /** Expected milliseconds from [now] until a request with [ahead] others before it is dispatched. */
    public fun expectedWait(ahead: Int, now: Long): Long {
        val sinceLast = lastDispatchAt?.let { now - it } ?: 0
        val stalledFor = sinceLast.toDouble().takeIf { it > STALLED_QUEUE_MILLISECONDS } ?: 0.0
        val interval = maxOf(dispatchInterval.value ?: 0.0, stalledFor)
        return (ahead * interval).toLong()
    }

    /** Whether [request], with [ahead] others before it, can probably be dispatched before its caller gives up. */
    public fun canDispatchInTime(request: WaitingRequest, ahead: Int, now: Long): Boolean =
        expectedWait(ahead, now) <= (request.patienceEndsAt - now) * MAXIMUM_WAIT_SHARE

    private companion object {
        /** Averages about ten dispatches, which take a fraction of a second at peak load. */
        const val INTERVAL_WEIGHT = 0.1

        /** After this time without a dispatch, the time since the last one counts as the interval. */
        const val STALLED_QUEUE_MILLISECONDS = 200.0

        /** Share of the remaining time that may be spent waiting; the first event needs the rest. */
        const val MAXIMUM_WAIT_SHARE = 0.5
    }
}
