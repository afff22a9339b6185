package org.guavahatch.scheduling.estimate

import kotlin.math.exp

/**
 * Measures the cost that an endpoint works off in a second of the time in which it has work. Old observations are
 * forgotten exponentially with busy time; idle time forgets nothing.
 *
 * @property timeConstantMilliseconds busy time after which an observation has lost two thirds of its weight, default
 * 4000
 */
public class SpeedMeter(
    initialCostPerSecond: Double,
    private val timeConstantMilliseconds: Double = DEFAULT_TIME_CONSTANT_MILLISECONDS,
) {
    private var busyMilliseconds = timeConstantMilliseconds * INITIAL_SHARE
    private var workedCost = initialCostPerSecond * busyMilliseconds / MILLISECONDS_PER_SECOND
    private var busySince: Long? = null

    /** The present estimate. */
    public val costPerSecond: Double
        get() = MILLISECONDS_PER_SECOND * workedCost / maxOf(busyMilliseconds, 1.0)

    /** Notes that [cost] was worked off. */
    public fun add(cost: Double) {
        workedCost += cost
    }

    /** Notes at [nowMilliseconds] whether the endpoint has work from now on. */
    public fun setBusy(isBusy: Boolean, nowMilliseconds: Long) {
        advance(nowMilliseconds)
        busySince = if (isBusy) nowMilliseconds else null
    }

    private fun advance(nowMilliseconds: Long) {
        val elapsed = nowMilliseconds - (busySince ?: return)
        if (elapsed <= 0) return
        val kept = exp(-elapsed / timeConstantMilliseconds)
        busyMilliseconds = busyMilliseconds * kept + elapsed
        workedCost *= kept
    }

    private companion object {
        const val DEFAULT_TIME_CONSTANT_MILLISECONDS = 4000.0
        const val INITIAL_SHARE = 0.25
        const val MILLISECONDS_PER_SECOND = 1000.0
    }
}
