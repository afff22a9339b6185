package org.guavahatch.scheduling.direct

/** Computes the [quantile] (0 to 1) of the last [CAPACITY] samples. */
internal class RecentQuantile(private val quantile: Double) {
    private val samples = DoubleArray(CAPACITY)
    private var count = 0L

    /** Current quantile, or null before the first sample. */
    var value: Double? = null
        private set

    fun add(sample: Double) {
        samples[(count++ % CAPACITY).toInt()] = sample
        val size = minOf(count, CAPACITY.toLong()).toInt()
        value = samples.copyOf(size).apply { sort() }[(quantile * (size - 1)).toInt()]
    }

    private companion object {
        const val CAPACITY = 32
    }
}
