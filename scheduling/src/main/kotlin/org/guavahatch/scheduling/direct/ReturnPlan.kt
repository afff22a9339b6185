package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock
import java.util.TreeMap
import kotlin.random.Random

/**
 * Returns of rejected callers that are planned for one pool over the next [HORIZON_BUCKETS] buckets of
 * [BUCKET_MILLISECONDS], by order ([WaitingRequest.order]): those that this gateway has planned, and those that its
 * peers report.
 *
 * @property clock source of monotonic time
 * @property random spreads returns that are planned for the same moment
 */
public class ReturnPlan(private val clock: Clock, private val random: Random) {
    private val own = TreeMap<Int, Buckets>()
    private val peers = HashMap<String, Map<Int, Buckets>>()
    private val peerTotals = TreeMap<Int, Buckets>()
    private val unreported = ArrayDeque<Planned>()
    private var areTotalsCurrent = true
    private var totalledAt = 0L

    /** Own planned returns by order, in buckets from the current one; trailing zeros are left out. */
    public val report: Map<Int, List<Int>>
        get() {
            val current = clock.monotonicMilliseconds() / BUCKET_MILLISECONDS
            return own.mapValues { (_, buckets) -> buckets.from(current) }.filterValues { it.isNotEmpty() }
        }

    /** Replaces the planned returns that [peer] reports, in the form of [report]. */
    public fun recordPeer(peer: String, returns: Map<Int, List<Int>>) {
        if (returns.isEmpty() && peer !in peers) return
        val current = clock.monotonicMilliseconds() / BUCKET_MILLISECONDS
        peers[peer] = returns.mapValues { (_, counts) -> Buckets().apply { set(current, counts) } }
        areTotalsCurrent = false
    }

    /**
     * Plans the return of a rejected request of [order].
     *
     * @param demand what the pool serves and what is taken before the request
     * @param latest longest time in milliseconds after which the caller can still be served
     * @param isExpected whether the caller is expected to return, which it does once; if not, nothing is planned
     * @return milliseconds after which the caller should return: when the pool is expected to have capacity for it, or
     * about [latest] if it has none before
     */
    public fun plan(order: Int, demand: PoolDemand, latest: Long, isExpected: Boolean = true): Long {
        val now = clock.monotonicMilliseconds()
        val delay = firstDelay(order, demand, latest, now) ?: lastDelay(maxOf(0, latest))
        if (!isExpected) return delay
        val bucket = (now + delay) / BUCKET_MILLISECONDS
        own.getOrPut(order) { Buckets() }.add(bucket, 1)
        unreported.addLast(Planned(now, order, bucket))
        return delay
    }

    /** At most [latest]; spread, as callers that are rejected together often have the same time left. */
    private fun lastDelay(latest: Long): Long =
        latest - random.nextLong(minOf(BUCKET_MILLISECONDS, latest / LAST_SPREAD_DIVISOR) + 1)

    private fun firstDelay(order: Int, demand: PoolDemand, latest: Long, now: Long): Long? {
        val current = now / BUCKET_MILLISECONDS
        val planned = plannedFrom(current, order, demand.gateways, now)
        var returns = 0
        for (index in 0 until HORIZON_BUCKETS) {
            returns += planned[index]
            val start = maxOf((current + index) * BUCKET_MILLISECONDS - now, MINIMUM_DELAY_MILLISECONDS)
            val end = (current + index + 1) * BUCKET_MILLISECONDS - now
            val first = maxOf(start, demand.millisecondsUntilServed(returns + 1))
            if (first > latest) return null
            // In the same bucket, so that it is counted where the next rejected request looks.
            if (first < end) return minOf(latest, end - 1, first + random.nextLong(SPREAD_MILLISECONDS))
        }
        return null
    }

    /** Planned returns of [order] or a higher one, by bucket from [current]. */
    private fun plannedFrom(current: Long, order: Int, gateways: Int, now: Long): IntArray {
        updateTotals(now)
        val planned = IntArray(HORIZON_BUCKETS)
        own.headMap(order, true).values.forEach { it.addTo(planned, current) }
        peerTotals.headMap(order, true).values.forEach { it.addTo(planned, current) }
        // Peers plan about as many returns as this gateway while neither has heard of the other's.
        val reportedUntil = now - REPORT_DELAY_MILLISECONDS
        while (unreported.isNotEmpty() && unreported.first().at < reportedUntil) unreported.removeFirst()
        unreported.forEach {
            val index = (it.bucket - current).toInt()
            if (it.order <= order && index in planned.indices) planned[index] += gateways - 1
        }
        return planned
    }

    private fun updateTotals(now: Long) {
        if (areTotalsCurrent || now - totalledAt < TOTAL_INTERVAL_MILLISECONDS) return
        val current = now / BUCKET_MILLISECONDS
        peerTotals.clear()
        peers.values.forEach { plan ->
            plan.forEach { (order, buckets) -> peerTotals.getOrPut(order) { Buckets() }.addAll(buckets, current) }
        }
        peers.values.removeIf { plan -> plan.values.all { it.from(current).isEmpty() } }
        areTotalsCurrent = true
        totalledAt = now
    }

    private class Planned(val at: Long, val order: Int, val bucket: Long)

    /** Counts by bucket in a ring; a place is used again when its bucket has passed. */
    private class Buckets {
        private val counts = IntArray(HORIZON_BUCKETS)
        private val numbers = LongArray(HORIZON_BUCKETS) { -1 }

        fun add(bucket: Long, count: Int) {
            val place = (bucket % HORIZON_BUCKETS).toInt()
            if (numbers[place] != bucket) {
                numbers[place] = bucket
                counts[place] = 0
            }
            counts[place] += count
        }

        fun set(first: Long, values: List<Int>) =
            values.take(HORIZON_BUCKETS).forEachIndexed { index, count -> add(first + index, maxOf(0, count)) }

        fun at(bucket: Long): Int {
            val place = (bucket % HORIZON_BUCKETS).toInt()
            return if (numbers[place] == bucket) counts[place] else 0
        }

        fun from(first: Long): List<Int> = List(HORIZON_BUCKETS) { at(first + it) }.dropLastWhile { it == 0 }

        fun addTo(sums: IntArray, first: Long) = sums.indices.forEach { sums[it] += at(first + it) }

        fun addAll(other: Buckets, first: Long) = repeat(HORIZON_BUCKETS) { index ->
            val count = other.at(first + index)
            if (count > 0) add(first + index, count)
        }
    }

    public companion object {
        /** Length of a bucket; several times the age of a report. */
        public const val BUCKET_MILLISECONDS: Long = 250

        /** Covers a third of the time limits of usual routes, up to which callers follow the advice. */
        public const val HORIZON_BUCKETS: Int = 16

        /** At most this part of the time is given up for spreading the callers that find no capacity. */
        private const val LAST_SPREAD_DIVISOR = 4

        /** Keeps gateways with the same knowledge from naming the same moment; shorter than a bucket. */
        private const val SPREAD_MILLISECONDS = 125L

        /** Approximate time in which a full pool frees capacity. */
        private const val MINIMUM_DELAY_MILLISECONDS = 200L

        /** The interval of reports with returns, with the time that they usually take. */
        private const val REPORT_DELAY_MILLISECONDS = 250L

        /** Limits the additions to a few in each bucket, however many peers report. */
        private const val TOTAL_INTERVAL_MILLISECONDS = 50L
    }
}

/**
 * Expected capacity of a pool for a request, over all gateways.
 *
 * @property servedPerSecond requests that the pool serves in a second
 * @property arrivalsPerSecond first arrivals of the same or a higher order in a second
 * @property waiting requests that wait and go before the request
 * @property gateways number of gateways, including this one
 */
public class PoolDemand(
    private val servedPerSecond: Double,
    private val arrivalsPerSecond: Double,
    private val waiting: Int,
    public val gateways: Int,
) {
    /** Milliseconds after which the pool has served those that go before and [requests] more; very long if never. */
    internal fun millisecondsUntilServed(requests: Int): Long {
        val spare = servedPerSecond - arrivalsPerSecond
        return if (spare > 0) ((waiting + requests) * MILLISECONDS_PER_SECOND / spare).toLong() else Long.MAX_VALUE
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
