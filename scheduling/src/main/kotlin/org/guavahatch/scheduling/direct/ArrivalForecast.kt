package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock
import java.util.TreeMap
import kotlin.math.exp

/**
 * Predicts how many requests of higher priority arrive within a short time, from the recent arrivals.
 *
 * Gateways learn of each other's requests with a delay. If requests of low priority take every free slot, an urgent
 * request that arrives meanwhile waits until a slot is released and the release is reported. Keeping as many slots free
 * as urgent requests are expected avoids that wait while requests of low priority fill the endpoints.
 *
 * @property clock source of monotonic time
 */
public class ArrivalForecast(private val clock: Clock) {
    private val countsByOrder = TreeMap<Int, DecayingCount>()

    /** Records the arrival of a request with [order]. */
    public fun record(order: Int) {
        countsByOrder.getOrPut(order) { DecayingCount() }.add(clock.monotonicMilliseconds())
    }

    /** Expected number of requests with a higher priority than [order] that arrive within [milliseconds]. */
    public fun expectedBefore(order: Int, milliseconds: Long): Double {
        val now = clock.monotonicMilliseconds()
        return countsByOrder.headMap(order).values.sumOf { it.at(now) } * milliseconds / AVERAGING_MILLISECONDS
    }

    /** Number of recent events, each of which counts less the longer ago it was. */
    private class DecayingCount {
        private var count = 0.0
        private var countedAt = 0L

        fun at(now: Long): Double = count * exp((countedAt - now) / AVERAGING_MILLISECONDS)

        fun add(now: Long) {
            count = at(now) + 1
            countedAt = now
        }
    }

    private companion object {
        /** Long enough to average over the few arrivals at one gateway, short compared with a swing of the load. */
        const val AVERAGING_MILLISECONDS = 2_000.0
    }
}
