package org.guavahatch.scheduling.direct

/** Decides which requests may still be sent to an endpoint once a planned stop of this process has begun. */
public class PlannedStop {
    private var endsAt: Long? = null

    /** Whether a planned stop has begun. */
    public val isStopping: Boolean get() = endsAt != null

    /** Begins the stop; requests that are open at the monotonic time [endsAt] are ended then. */
    public fun begin(endsAt: Long) {
        this.endsAt = endsAt
    }

    /** Whether the time for open requests is over at [now]. */
    public fun isOverAt(now: Long): Boolean = endsAt?.let { now >= it } ?: false

    /**
     * Whether a request that is sent at [now] and takes [expectedMilliseconds] ends before open requests are ended. A
     * request that does not must not be sent: it can still be refused as not run, and another gateway can serve it.
     */
    public fun allowsSendAt(now: Long, expectedMilliseconds: Long): Boolean =
        endsAt?.let { now + expectedMilliseconds + MARGIN_MILLISECONDS <= it } ?: true

    private companion object {
        /** Time for an answer to reach its caller. */
        const val MARGIN_MILLISECONDS = 250L
    }
}
