package org.guavahatch.scheduling.direct

/** Exponentially weighted moving average; each new sample counts with [weight], the first one in full. */
internal class MovingAverage(private val weight: Double) {
    var value: Double? = null
        private set

    fun add(sample: Double) {
        value = value?.let { it + weight * (sample - it) } ?: sample
    }
}
