package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock

/**
 * This gateway's part of the retries that all gateways together may send to a pool within a sliding window.
 *
 * The part that grows with requests follows the requests that this gateway got; the fixed part is divided evenly. So
 * the sum holds without an exchange between gateways. The load it answers: retries that would multiply an overload.
 *
 * @property clock source of time
 * @property settings the limit
 */
public class RetryAllowance(private val clock: Clock, private val settings: RetryLimit) {
    private val requests = WindowCounter(settings.windowMilliseconds)
    private val retries = WindowCounter(settings.windowMilliseconds)

    /** Notes a request of a caller for the pool. */
    public fun noteRequest() {
        requests.add(clock.monotonicMilliseconds())
    }

    /** Takes one retry; false if this gateway's part, one of [gateways], is used up. */
    public fun take(gateways: Int): Boolean {
        val now = clock.monotonicMilliseconds()
        val fixed = settings.fixedRetries * SAFE_PART / maxOf(1, gateways)
        val allowed = settings.retriesPerRequest * SAFE_PART * requests.sum(now) + fixed
        if (retries.sum(now) + 1 > allowed) return false
        retries.add(now)
        return true
    }

    private companion object {
        /** Windows here and at the one who counts begin at different moments; a part stays unused for that. */
        const val SAFE_PART = 0.8
    }
}

/**
 * Limit of retries of all gateways together.
 *
 * @property retriesPerRequest retries for each request
 * @property fixedRetries retries within a window beside those
 * @property windowMilliseconds length of the sliding window
 */
public data class RetryLimit(
    public val retriesPerRequest: Double,
    public val fixedRetries: Double,
    public val windowMilliseconds: Long,
)

/** Counts events of the last [windowMilliseconds], to a tenth of the window more. */
private class WindowCounter(private val windowMilliseconds: Long) {
    private val bucketMilliseconds = maxOf(1L, windowMilliseconds / BUCKETS)
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
        const val BUCKETS = 10
    }
}
