package org.guavahatch.scheduling.rollout

import kotlin.math.ceil
import kotlin.math.log2
import kotlin.math.pow

/**
 * Buckets of a histogram of durations in milliseconds. Bucket 0 holds durations up to 1 ms, and the bound grows by a
 * third of an octave (factor 1.26) from each bucket to the next; the last one holds all longer durations.
 */
public object DurationBuckets {
    /** Number of buckets; the last bound is about 50 s. */
    public const val COUNT: Int = 48
    private const val BUCKETS_PER_OCTAVE = 3

    /** Returns the bucket of [milliseconds]. */
    public fun indexOf(milliseconds: Double): Int {
        if (milliseconds <= 1) return 0
        return ceil(log2(milliseconds) * BUCKETS_PER_OCTAVE).toInt().coerceAtMost(COUNT - 1)
    }

    /** Returns a duration in milliseconds from the middle of bucket [index]. */
    public fun middleOf(index: Int): Double = 2.0.pow((index - HALF) / BUCKETS_PER_OCTAVE)

    private const val HALF = 0.5
}
