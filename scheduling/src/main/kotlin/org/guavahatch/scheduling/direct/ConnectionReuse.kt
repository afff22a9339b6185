package org.guavahatch.scheduling.direct

/**
 * Decides whether a connection to one address may carry more than one request.
 *
 * Load: endpoints that send more than one response to a request, whole or in part, so that the next response on the
 * connection may be mistaken. On a connection for one request there is no next one.
 */
public class ConnectionReuse {
    private var suspendedUntil = Long.MIN_VALUE

    /** Records at [now] that bytes were received on a connection that belong to no request on it. */
    public fun recordUnexpectedBytes(now: Long) {
        suspendedUntil = now + SUSPENSION_MILLISECONDS
    }

    /** Whether a connection may be used again at [now]. */
    public fun isAllowed(now: Long): Boolean = now >= suspendedUntil

    private companion object {
        /** Longer than any connection is kept without a request. */
        const val SUSPENSION_MILLISECONDS = 10_000L
    }
}
