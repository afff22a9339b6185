package org.guavahatch.scheduling.direct

import org.guavahatch.model.configuration.DispatchRule

/**
 * Tracks the sends of one request and decides whether it may be sent again.
 *
 * @property rule rule of the route on repeated execution
 * @property maximumAttempts maximum number of sends that an endpoint may have run
 */
public class SendHistory(private val rule: DispatchRule, private val maximumAttempts: Int) {
    private val connections = HashSet<Long>(EXPECTED_CONNECTIONS)
    private var sends = 0

    /** Numbers of the connections on which the request was sent. */
    public val usedConnections: Set<Long> get() = connections

    /** Number of sends that an endpoint has run or may have run. */
    public var possibleRuns: Int = 0
        private set

    /** Number of sends that an endpoint refused or that did not reach one. */
    public var rejections: Int = 0
        private set

    /** Identifier of the last event that was sent to the caller, or null. */
    public var lastEventId: Long? = null
        private set

    /** Whether part of the answer was sent to the caller, so that another endpoint can only resume it. */
    public var hasAnswerBegun: Boolean = false
        private set

    /** Whether no endpoint can have run the request; only then may it be refused as not run. */
    public val isNotRun: Boolean get() = possibleRuns == 0

    /** Whether the request was sent to an endpoint before, or an attempt to do so failed. */
    public val hasBeenSent: Boolean get() = possibleRuns + rejections > 0

    /** Whether another endpoint may be tried after a rejection. */
    public val mayTryAnotherEndpoint: Boolean get() = rejections <= MAXIMUM_REJECTIONS

    /** Whether the request may be sent again although an endpoint may have run it. */
    public val canRepeat: Boolean get() = rule != DispatchRule.AT_MOST_ONCE &&
        (!hasAnswerBegun || rule == DispatchRule.RESUMABLE && lastEventId != null) &&
        possibleRuns < maximumAttempts

    /** Records that the request was sent on the connection numbered [connection]; returns the number of the send. */
    public fun recordSent(connection: Long): Int {
        connections.add(connection)
        possibleRuns++
        return ++sends
    }

    /** Records that the endpoint reported that it has not run the request. */
    public fun recordRejected() {
        possibleRuns--
        rejections++
    }

    /** Records that the endpoint could not be reached, so that nothing was sent. */
    public fun recordUnreachable() {
        rejections++
    }

    /** Records the beginning of the answer; returns false if it had begun before. */
    public fun recordBegun(): Boolean = !hasAnswerBegun.also { hasAnswerBegun = true }

    /** Records the event with [id], or null if it has none; returns false if it was already sent to the caller. */
    public fun recordEvent(id: Long?): Boolean {
        val last = lastEventId
        if (id != null && last != null && id <= last) return false
        if (id != null) lastEventId = id
        return true
    }

    private companion object {
        const val EXPECTED_CONNECTIONS = 2

        /** With more rejections than this, the request is refused and the caller is asked to retry later. */
        const val MAXIMUM_REJECTIONS = 4
    }
}
