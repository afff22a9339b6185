package org.guavahatch.scheduling.direct

/**
 * Predicts how long a request will wait, from the pace at which the queue was served lately.
 *
 * A request that cannot be served in time is refused at once, so that its caller comes back after the crest instead of
 * waiting in vain. The load it answers: a crest well above what the endpoints can do.
 */
public class QueueForecast {
    private val interval = Average(INTERVAL_WEIGHT)
    private var lastDispatchAt: Long? = null

    /** Notes that a waiting request was sent at [now]; [isQueueLeft] tells whether others still wait. */
    public fun noteDispatch(now: Long, isQueueLeft: Boolean) {
        lastDispatchAt?.let { interval.add((now - it).toDouble()) }
        lastDispatchAt = if (isQueueLeft) now else null
    }

    /** Milliseconds until the request behind [ahead] others is sent, as expected at [now]. */
    public fun expectedWait(ahead: Int, now: Long): Long {
        val sinceLast = lastDispatchAt?.let { now - it } ?: 0
        val pace = maxOf(interval.value ?: 0.0, sinceLast.toDouble().takeIf { it > STUCK_MILLISECONDS } ?: 0.0)
        return (ahead * pace).toLong()
    }

    /** Whether [request] behind [ahead] others will probably be sent before its caller leaves. */
    public fun isHopeful(request: WaitingRequest, ahead: Int, now: Long): Boolean =
        expectedWait(ahead, now) <= (request.abandonAt - now) * HOPEFUL_PART

    private companion object {
        /** Some ten dispatches: a fraction of a second at a crest. */
        const val INTERVAL_WEIGHT = 0.1

        /** Without a dispatch for this long, the pace is taken from the silence. */
        const val STUCK_MILLISECONDS = 200.0

        /** The first event takes a part of the time that is left. */
        const val HOPEFUL_PART = 0.5
    }
}
