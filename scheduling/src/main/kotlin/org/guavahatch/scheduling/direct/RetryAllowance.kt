package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock

/**
 * Limits the retries of this gateway to its share of what all gateways together may send to a pool in a sliding window,
 * so that retries do not amplify an overload.
 *
 * The variable part is proportional to the requests that this gateway has received; the fixed part is divided evenly.
 * So all gateways together keep to the limit without exchanging their counts.
 *
 * @property clock source of monotonic time
 * @property settings limit of all gateways together
 */
public class RetryAllowance(private val clock: Clock, private val settings: RetryLimit) {
    private val requests = WindowCounter(settings.windowMilliseconds)
    private val retries = WindowCounter(settings.windowMilliseconds)

    /** Records a request of a caller for the pool. */
    public fun recordRequest() {
        requests.add(clock.monotonicMilliseconds())
    }

    /** Takes one retry; returns false if the share of this gateway, one of [gateways], is used up. */
    public fun take(gateways: Int): Boolean {
        val now = clock.monotonicMilliseconds()
        val fixed = settings.fixedRetries * USED_SHARE / maxOf(1, gateways)
        val allowed = settings.retriesPerRequest * USED_SHARE * requests.sum(now) + fixed
        if (retries.sum(now) + 1 > allowed) return false
        retries.add(now)
        return true
    }

    private companion object {
        /** Share of the limit that is used; the rest covers an external check whose windows begin at other times. */
        const val USED_SHARE = 0.8
    }
}

/**
 * Limit on the retries of all gateways together within a sliding window.
 *
 * @property retriesPerRequest retries that each request in the window allows
 * @property fixedRetries additional retries allowed in any window
 * @property windowMilliseconds length of the window
 */
public data class RetryLimit(
    public val retriesPerRequest: Double,
    public val fixedRetries: Double,
    public val windowMilliseconds: Long,
)

/** Counts the events of the last [windowMilliseconds]; may include up to a tenth of the window before that. */
private class WindowCounter(private val windowMilliseconds: Long) {
    private val bucketMilliseconds = maxOf(1L, windowMilliseconds / BUCKET_COUNT)
    private val counts = ArrayDeque<Pair<Long, Int>>()

    fun add(now: Long) {
        val bucket = now / bucketMilliseconds
        val last = counts.lastOrNull()
        if (last?.first == bucket) counts[counts.lastIndex] = bucket to last.second + 1 else counts.add(bucket to 1)
    }

    fun sum(now: Long): Int {
        val oldest = (now - windowMilliseconds) / bucketMilliseconds
        while (counts.firstOrNull()?.let { it.first < oldest } == true) counts.removeFirst()
        return counts.sumOf { it.second }
    }

    private companion object {
        const val BUCKET_COUNT = 10
    }
}
