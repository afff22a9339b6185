package org.guavahatch.scheduling.direct

import org.guavahatch.model.forwarding.ListedEndpoint

/**
 * State of one endpoint as this gateway estimates it.
 *
 * @property listed latest registration of the endpoint
 */
public class EndpointState(public var listed: ListedEndpoint) {
    /** Requests of this gateway that were sent to the endpoint and have not ended. */
    public var ownRequests: Int = 0
        private set

    /** Prompt tokens of this gateway's requests that have not produced their first event. */
    public var ownPrefillTokens: Long = 0
        private set

    /** Tokens of memory that this gateway's requests hold at the endpoint, expected output included. */
    public var ownTokens: Long = 0
        private set

    /** Tokens of memory that other gateways' requests hold at the endpoint, from their last reports. */
    public var peerTokens: Long = 0

    /** Requests of other gateways at the endpoint, from their last reports. */
    public var peerRequests: Int = 0

    /** Prompt tokens of other gateways' requests that are not prefilled yet, from their last reports. */
    public var peerPrefillTokens: Long = 0

    /** Monotonic time until which no request is sent, after failures or a replaced process. */
    public var suspendedUntil: Long = 0
        private set

    /** Monotonic time until which the endpoint counts as full, after it refused a request. */
    public var fullUntil: Long = 0
        private set

    /** Monotonic time until which the endpoint wants no requests, as it said when it refused one. */
    public var pausedUntil: Long = 0
        private set

    /** Whether the endpoint has said in a response that it is leaving; its process will not accept requests again. */
    public var hasAnnouncedLeaving: Boolean = false
        private set

    /** Whether the endpoint is gone from the list of endpoints. */
    public var isRemoved: Boolean = false

    /** Whether the endpoint is leaving or gone and accepts no new requests. */
    public val isClosed: Boolean get() = isRemoved || listed.isLeaving || hasAnnouncedLeaving

    private val pace = MovingAverage(PACE_WEIGHT)
    private val work = MovingAverage(PACE_WEIGHT)
    private val sustainedPace = MovingAverage(SUSTAINED_PACE_WEIGHT)
    private val pauseWhilePrefilling = RecentQuantile(PAUSE_QUANTILE)
    private val tokensPerEvent = RecentQuantile(MEDIAN)
    private val prefillTimePerToken = RecentQuantile(PREFILL_QUANTILE)
    private val failureRate = MovingAverage(FAILURE_WEIGHT)
    private var consecutiveFailures = 0
    private var consecutiveRefusals = 0
    private var hasServedPrompts = false

    /** Maximum of [ownRequests]; divides the free slots between the gateways. */
    public var ownRequestLimit: Int = Int.MAX_VALUE

    /** Requests that silent gateways are assumed to have at the endpoint. */
    public var assumedRequests: Int = 0

    private var reportedOtherRequests = 0
    private var reportValidUntil = 0L

    /** Estimated requests of all gateways at the endpoint at [now]. */
    public fun requestsAt(now: Long): Int = ownRequests + maxOf(
        peerRequests,
        if (now < reportValidUntil) reportedOtherRequests else peerRequests + assumedRequests,
    )

    /** Estimated free slots at [now]. */
    public fun freeSlotsAt(now: Long): Int = maxOf(0, listed.slots - requestsAt(now))

    /** Whether the endpoint can be sent requests at [now], provided that it has a free slot. */
    public fun isUsableAt(now: Long): Boolean =
        !isClosed && suspendedUntil <= now && fullUntil <= now && pausedUntil <= now

    /** Whether requests of this gateway can be sent to the endpoint at [now] within its share of the slots. */
    public fun hasOwnSlotAt(now: Long): Boolean =
        isUsableAt(now) && freeSlotsAt(now) > 0 && ownRequests < ownRequestLimit

    /** Records that the endpoint reported [reported] requests at [now], including those of silent gateways. */
    public fun recordReportedRequests(reported: Int, now: Long) {
        reportedOtherRequests = reported - ownRequests
        val validity = workMilliseconds?.toLong() ?: REPORT_VALIDITY_MILLISECONDS
        reportValidUntil = now + minOf(validity, REPORT_VALIDITY_MILLISECONDS)
    }

    /** Prompt tokens of all gateways that are not prefilled yet. */
    public val prefillTokens: Long get() = ownPrefillTokens + peerPrefillTokens

    /** Mean milliseconds between stream events, or of an application's response; null before the first sample. */
    public val paceMilliseconds: Double? get() = pace.value

    /**
     * Mean milliseconds of an application's response, at least 1; null for engines and before the first sample. An
     * engine may answer a request without a prompt, too, whose duration says nothing about its other requests.
     */
    public val workMilliseconds: Double?
        get() = if (hasServedPrompts || ownTokens + peerTokens > 0) null else work.value?.coerceAtLeast(1.0)

    /** Like [paceMilliseconds], averaged over several seconds; null before the first sample. */
    public val sustainedPaceMilliseconds: Double? get() = sustainedPace.value

    /**
     * High quantile of the milliseconds between stream events while the endpoint prefills long prompts; null before the
     * first sample. Engines that prefill in chunks keep it bounded, however long the prompts are.
     */
    public val pauseWhilePrefillingMilliseconds: Double? get() = pauseWhilePrefilling.value

    /** Median of estimated tokens per event over recent completed streams; null before the first sample. */
    public val estimatedTokensPerEvent: Double? get() = tokensPerEvent.value

    /** Lower quartile of the milliseconds to the first event per prompt token; null before the first sample. */
    public val prefillMillisecondsPerToken: Double? get() = prefillTimePerToken.value

    /** Moving average of the share of failed requests, 0 to 1. */
    public val recentFailureRate: Double get() = failureRate.value ?: 0.0

    /** Records that a request with [promptTokens] is sent, which holds [heldTokens] of memory until it ends. */
    public fun recordSent(promptTokens: Long, heldTokens: Long = 0) {
        ownRequests++
        if (promptTokens > 0) hasServedPrompts = true
        ownTokens += heldTokens
        ownPrefillTokens += promptTokens
    }

    /** Records the first event of a request with [promptTokens]. */
    public fun recordPrefilled(promptTokens: Long) {
        ownPrefillTokens -= promptTokens
    }

    /**
     * Records that a request that held [heldTokens] of memory left the endpoint with [unprefilledTokens] of its prompt
     * not prefilled.
     */
    public fun recordEnded(unprefilledTokens: Long, heldTokens: Long = 0) {
        ownRequests--
        ownTokens -= heldTokens
        ownPrefillTokens -= unprefilledTokens
    }

    /** Records the duration of an application's response. */
    public fun recordWork(milliseconds: Double) {
        work.add(milliseconds)
        consecutiveRefusals = 0
        recordPace(milliseconds)
    }

    /** Records the time between two stream events, or the duration of an application's response. */
    public fun recordPace(milliseconds: Double) {
        pace.add(milliseconds)
        sustainedPace.add(milliseconds)
        if (prefillTokens >= LONG_PREFILL_TOKENS) pauseWhilePrefilling.add(milliseconds)
    }

    /** Records a first event [milliseconds] after the send, with [tokens], its own included, to prefill by then. */
    public fun recordFirstEvent(tokens: Long, milliseconds: Long) {
        if (tokens >= MINIMUM_SAMPLE_TOKENS) {
            prefillTimePerToken.add(milliseconds.toDouble() / (tokens + FIRST_TOKEN_OVERHEAD_TOKENS))
        }
    }

    /** Records that a stream estimated at [estimatedTokens] completed after [events]. */
    public fun recordLength(estimatedTokens: Long, events: Int) {
        if (events >= MINIMUM_SAMPLE_EVENTS) tokensPerEvent.add(estimatedTokens.toDouble() / events)
    }

    /** Records a request that the endpoint served. */
    public fun recordSuccess() {
        consecutiveFailures = 0
        failureRate.add(0.0)
    }

    /**
     * Records a failure at [now] and suspends the endpoint with exponential backoff: after several consecutive
     * failures, or at once if [isUnreachable].
     */
    public fun recordFailure(now: Long, isUnreachable: Boolean) {
        failureRate.add(1.0)
        consecutiveFailures++
        if (!isUnreachable && consecutiveFailures < FAILURES_TO_SUSPEND) return
        val doublings = minOf(consecutiveFailures, MAXIMUM_DOUBLINGS)
        suspendedUntil = now + (BASE_SUSPENSION_MILLISECONDS shl doublings)
    }

    /** Records at [now] that another process responded at the endpoint's address: the listed one ended or moved. */
    public fun recordReplaced(now: Long) {
        suspendedUntil = now + REPLACED_SUSPENSION_MILLISECONDS
    }

    /**
     * Records that the endpoint refused a request at [now] because it is full. An application with short work is asked
     * again sooner, but later after each further refusal, since it may be held by longer work.
     */
    public fun recordFull(now: Long) {
        val untilFreeSlot = workMilliseconds?.toLong()?.coerceAtLeast(LEAST_FULL_SUSPENSION_MILLISECONDS)
        val doubled = untilFreeSlot?.let { it shl minOf(consecutiveRefusals, MAXIMUM_DOUBLINGS) }
        consecutiveRefusals++
        fullUntil = now + minOf(doubled ?: FULL_SUSPENSION_MILLISECONDS, FULL_SUSPENSION_MILLISECONDS)
    }

    /** Records that the endpoint said in a response that it is leaving. */
    public fun recordLeaving() {
        hasAnnouncedLeaving = true
    }

    /** Records that the endpoint said at [now] that it wants no requests for [milliseconds]. */
    public fun recordPause(now: Long, milliseconds: Long) {
        pausedUntil = maxOf(pausedUntil, now + milliseconds)
    }

    private companion object {
        const val PACE_WEIGHT = 0.1

        /** Averages about a hundred events: several seconds at a busy endpoint, the time scale of a long answer. */
        const val SUSTAINED_PACE_WEIGHT = 0.02
        const val MEDIAN = 0.5
        const val PAUSE_QUANTILE = 0.9

        /** Prompts that take several decoding steps to prefill. */
        const val LONG_PREFILL_TOKENS = 4_000L

        /** In shorter answers, a last event with fewer tokens distorts the number of tokens per event. */
        const val MINIMUM_SAMPLE_EVENTS = 5
        const val FAILURE_WEIGHT = 0.1
        const val FAILURES_TO_SUSPEND = 3

        /** A low quantile, since requests unknown to this gateway delay the slower samples. */
        const val PREFILL_QUANTILE = 0.25

        /** With fewer tokens, the connection dominates the time to the first event instead of the prefill. */
        const val MINIMUM_SAMPLE_TOKENS = 1_000L

        /** Fixed work of a first token in prompt tokens: about 36 ms at an engine that prefills 40 tokens in 1 ms. */
        const val FIRST_TOKEN_OVERHEAD_TOKENS = 1_500L
        const val MAXIMUM_DOUBLINGS = 4

        /** Doubled with each consecutive failure, up to 1.6 s, since crashed endpoints are unavailable for longer. */
        const val BASE_SUSPENSION_MILLISECONDS = 100L

        /**
         * A reported number of requests expires after half the duration of a typical request to a model engine, or
         * after the work of an application if that is shorter.
         */
        const val REPORT_VALIDITY_MILLISECONDS = 500L

        /** The list of endpoints usually names the new process within this time. */
        const val REPLACED_SUSPENSION_MILLISECONDS = 1_000L

        /** About the time until one slot of a full batch becomes free; shorter at applications with short work. */
        const val FULL_SUSPENSION_MILLISECONDS = 100L

        /** Waiting requests are looked at this often. */
        const val LEAST_FULL_SUSPENSION_MILLISECONDS = 20L
    }
}
