package org.guavahatch.scheduling.estimate

import kotlin.math.exp

/**
 * Measures the cost that an endpoint completes per second of busy time. Observations decay exponentially with busy
 * time; idle time does not count.
 *
 * @param initialCostPerSecond estimate before the first measurement
 * @property timeConstantMilliseconds busy time after which the weight of an observation has dropped to 1/e, about a
 * third; default 4000
 */
public class ThroughputMeter(
    initialCostPerSecond: Double,
    private val timeConstantMilliseconds: Double = DEFAULT_TIME_CONSTANT_MILLISECONDS,
) {
    private var busyMilliseconds = timeConstantMilliseconds * INITIAL_BUSY_SHARE
    private var completedCost = initialCostPerSecond * busyMilliseconds / MILLISECONDS_PER_SECOND
    private var busySince: Long? = null

    /** Current estimate of the throughput. */
    public val costPerSecond: Double
        get() = MILLISECONDS_PER_SECOND * completedCost / maxOf(busyMilliseconds, 1.0)

    /** Adds [cost] to the completed cost. */
    public fun add(cost: Double) {
        completedCost += cost
    }

    /** Sets whether the endpoint is busy from [nowMilliseconds] on. */
    public fun setBusy(isBusy: Boolean, nowMilliseconds: Long) {
        accountBusyTime(nowMilliseconds)
        busySince = if (isBusy) nowMilliseconds else null
    }

    private fun accountBusyTime(nowMilliseconds: Long) {
        val elapsed = nowMilliseconds - (busySince ?: return)
        if (elapsed <= 0) return
        val decay = exp(-elapsed / timeConstantMilliseconds)
        busyMilliseconds = busyMilliseconds * decay + elapsed
        completedCost *= decay
    }

    private companion object {
        const val DEFAULT_TIME_CONSTANT_MILLISECONDS = 4000.0
        const val INITIAL_BUSY_SHARE = 0.25
        const val MILLISECONDS_PER_SECOND = 1000.0
    }
}
