package org.guavahatch.scheduling.direct

import org.guavahatch.model.forwarding.ListedEndpoint

/**
 * What this gateway believes of one endpoint.
 *
 * @property listed the endpoint's own description
 */
public class EndpointState(public var listed: ListedEndpoint) {
    /** Requests of this gateway that are at the endpoint. */
    public var ownRequests: Int = 0
        private set

    /** Prompt tokens of this gateway's requests whose first event has not come yet. */
    public var ownPrefillTokens: Long = 0
        private set

    /** Requests of other gateways at the endpoint, as last heard. */
    public var peerRequests: Int = 0

    /** Prompt tokens of other gateways' requests that are not prefilled yet, as last heard. */
    public var peerPrefillTokens: Long = 0

    /** Monotonic time until which nothing is sent, after failures. */
    public var suspendedUntil: Long = 0
        private set

    /** Monotonic time until which the endpoint is taken as full, after it refused a request. */
    public var fullUntil: Long = 0
        private set

    /** Whether the endpoint is leaving or gone and takes nothing new. */
    public var isClosed: Boolean = false

    private val pace = Average(PACE_WEIGHT)
    private val sustainedPace = Average(SUSTAINED_PACE_WEIGHT)
    private val tokensPerEvent = RecentQuantile(MEDIAN)
    private val prefillPace = RecentQuantile(UNDISTURBED)
    private val failureShare = Average(FAILURE_WEIGHT)
    private var consecutiveFailures = 0

    /** Requests of this gateway at which it sends no more there, so that free slots are divided between gateways. */
    public var ownLimit: Int = Int.MAX_VALUE

    /** Requests that gateways which are silent may have there. */
    public var assumedRequests: Int = 0

    private var othersTold = 0
    private var toldUntil = 0L

    /** Requests at the endpoint, of all gateways, as believed at [now]. */
    public fun requestsAt(now: Long): Int =
        ownRequests + maxOf(peerRequests, if (now < toldUntil) othersTold else peerRequests + assumedRequests)

    /** Slots that are free, as believed at [now]. */
    public fun freeSlotsAt(now: Long): Int = maxOf(0, listed.slots - requestsAt(now))

    /** Whether the endpoint takes requests at [now], if it has room. */
    public fun isUsableAt(now: Long): Boolean = !isClosed && suspendedUntil <= now && fullUntil <= now

    /** Notes that the endpoint told at [now] that it has [present] requests, also of gateways that are not heard. */
    public fun notePresent(present: Int, now: Long) {
        othersTold = present - ownRequests
        toldUntil = now + TOLD_MILLISECONDS
    }

    /** Prompt tokens that are not prefilled yet, of all gateways. */
    public val prefillTokens: Long get() = ownPrefillTokens + peerPrefillTokens

    /** Mean milliseconds between events of streams, or of an answer of an application; null before the first. */
    public val paceMilliseconds: Double? get() = pace.value

    /** Mean milliseconds between events of streams over some seconds; null before the first. */
    public val sustainedPaceMilliseconds: Double? get() = sustainedPace.value

    /** Estimated tokens for each event of the streams that ended; null before the first. */
    public val estimatedTokensPerEvent: Double? get() = tokensPerEvent.value

    /** Milliseconds for each prompt token until a first event; null before the first. */
    public val prefillMillisecondsPerToken: Double? get() = prefillPace.value

    /** Share of requests that failed lately, 0 to 1. */
    public val recentFailures: Double get() = failureShare.value ?: 0.0

    /** Notes that a request with [promptTokens] is sent. */
    public fun noteSent(promptTokens: Long) {
        ownRequests++
        ownPrefillTokens += promptTokens
    }

    /** Notes that the first event of a request with [promptTokens] came. */
    public fun notePrefilled(promptTokens: Long) {
        ownPrefillTokens -= promptTokens
    }

    /** Notes that a request is no longer at the endpoint; [unreadTokens] of it were not prefilled. */
    public fun noteEnded(unreadTokens: Long) {
        ownRequests--
        ownPrefillTokens -= unreadTokens
    }

    /** Notes a measured pause between events, or the duration of an application's answer. */
    public fun notePace(milliseconds: Double) {
        pace.add(milliseconds)
        sustainedPace.add(milliseconds)
    }

    /** Notes that a first event came [milliseconds] after the send, with [tokens] to prefill until then. */
    public fun noteFirstEvent(tokens: Long, milliseconds: Long) {
        if (tokens >= TELLING_TOKENS) prefillPace.add(milliseconds.toDouble() / (tokens + FIRST_TOKEN_WORK))
    }

    /** Notes that a stream for which [estimatedTokens] were expected was complete after [events]. */
    public fun noteLength(estimatedTokens: Long, events: Int) {
        if (events >= TELLING_EVENTS) tokensPerEvent.add(estimatedTokens.toDouble() / events)
    }

    /** Notes that the endpoint did its work. */
    public fun noteSuccess() {
        consecutiveFailures = 0
        failureShare.add(0.0)
    }

    /** Notes a failure at [now]; several in a row suspend the endpoint for a growing time. */
    public fun noteFailure(now: Long, isUnreachable: Boolean) {
        failureShare.add(1.0)
        consecutiveFailures++
        if (!isUnreachable && consecutiveFailures < FAILURES_TO_SUSPEND) return
        val doublings = minOf(consecutiveFailures, MOST_DOUBLINGS)
        suspendedUntil = now + (SHORTEST_SUSPENSION_MILLISECONDS shl doublings)
    }

    /** Notes at [now] that another process answered at the endpoint's address: the listed one is gone or moved. */
    public fun noteReplaced(now: Long) {
        suspendedUntil = now + REPLACED_MILLISECONDS
    }

    /** Notes that the endpoint refused a request at [now] because it is full. */
    public fun noteFull(now: Long) {
        fullUntil = now + FULL_MILLISECONDS
    }

    private companion object {
        const val PACE_WEIGHT = 0.1

        /** Some hundred events: seconds of a busy endpoint, which a long answer takes. */
        const val SUSTAINED_PACE_WEIGHT = 0.02
        const val MEDIAN = 0.5

        /** Shorter answers tell little of the tokens in an event, since the last event may be a part. */
        const val TELLING_EVENTS = 5
        const val FAILURE_WEIGHT = 0.1
        const val FAILURES_TO_SUSPEND = 3

        /** Slower samples were held up by requests that this gateway did not know of. */
        const val UNDISTURBED = 0.25

        /** With fewer tokens the first event tells more of the connection than of the prefill. */
        const val TELLING_TOKENS = 1_000L

        /** Work of a first token beside its prompt, as prompt tokens: some 36 ms where an engine reads 40 in each. */
        const val FIRST_TOKEN_WORK = 1_500L
        const val MOST_DOUBLINGS = 4

        /** Doubled with each failure in a row, to 1.6 s at most: crashed endpoints stay away for longer. */
        const val SHORTEST_SUSPENSION_MILLISECONDS = 100L

        /** Half of the duration of a usual request to a model engine. */
        const val TOLD_MILLISECONDS = 500L

        /** The list tells of the successor within about this time. */
        const val REPLACED_MILLISECONDS = 1_000L

        /** About the time in which one slot of a full batch frees. */
        const val FULL_MILLISECONDS = 100L
    }
}
