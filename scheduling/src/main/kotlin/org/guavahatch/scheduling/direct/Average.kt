package org.guavahatch.scheduling.direct

/** Exponentially weighted mean; a new sample counts by [weight], the first one fully. */
internal class Average(private val weight: Double) {
    var value: Double? = null
        private set

    fun add(sample: Double) {
        value = value?.let { it + weight * (sample - it) } ?: sample
    }
}
