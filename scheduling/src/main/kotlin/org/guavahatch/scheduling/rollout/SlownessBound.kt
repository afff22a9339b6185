package org.guavahatch.scheduling.rollout

import org.guavahatch.scheduling.rollout.CountVector.Histogram

/** Determines from which duration on an answer of a route counts as slow, from all answers of the old side. */
internal object SlownessBound {
    /** "Several times slower": the least factor between the old median and a slow answer. */
    private const val MEDIAN_FACTOR = 2.0

    /** A slow engine of the old side is still as fast as required, so slow answers are those beyond nearly all. */
    private const val UPPER_FACTOR = 1.5
    private const val UPPER_QUANTILE = 0.95

    /** Endpoints of one pool differ up to three times in speed. */
    private const val SPEED_SPREAD = 3.0

    /** With fewer answers the upper quantile is one of the largest values. */
    private const val LEAST_ANSWERS = 30L

    /** Share of its equal part that an endpoint must have answered to count as observed. */
    private const val OBSERVED_PART = 0.2
    private const val OBSERVED_ENDPOINTS = 0.9
    private const val ANSWERS_PER_ENDPOINT = 2

    /**
     * Returns the last bucket that does not count as slow, or null if the old side has too few answers.
     *
     * @param previous answers of the old side
     * @param endpointBuckets buckets of the sampled endpoints of the old side, one entry for each endpoint
     */
    fun lastBucket(previous: CountVector, histogram: Histogram, endpointBuckets: List<Int>): Int? {
        if (previous.countAfter(histogram, -1) < LEAST_ANSWERS) return null
        val median = quantile(previous, histogram, 0.5) ?: return null
        val upper = quantile(previous, histogram, UPPER_QUANTILE) ?: return null
        val lower = quantile(previous, histogram, 1 - UPPER_QUANTILE) ?: return null
        val bound = maxOf(MEDIAN_FACTOR * median, UPPER_FACTOR * upper)
        if (areAllObserved(previous, endpointBuckets)) return DurationBuckets.indexOf(bound)
        // The answers below the median show how much the answers of the fast engines differ.
        return DurationBuckets.indexOf(maxOf(bound, SPEED_SPREAD * median * (median / lower)))
    }

    private fun quantile(counts: CountVector, histogram: Histogram, share: Double) =
        counts.quantile(histogram, share)?.let { DurationBuckets.middleOf(it) }

    /** Whether the answers came from nearly all endpoints, so that they show how the endpoints differ in speed. */
    private fun areAllObserved(previous: CountVector, endpointBuckets: List<Int>): Boolean {
        val total = (0 until EndpointSample.COUNT).sumOf { previous.endpointAnswers(it) }
        if (endpointBuckets.isEmpty() || total < ANSWERS_PER_ENDPOINT * endpointBuckets.size) return false
        val observed = endpointBuckets.groupingBy { it }.eachCount().entries.sumOf { (bucket, endpoints) ->
            val equalPart = total.toDouble() * endpoints / endpointBuckets.size
            if (previous.endpointAnswers(bucket) >= OBSERVED_PART * equalPart) endpoints else 0
        }
        return observed >= OBSERVED_ENDPOINTS * endpointBuckets.size
    }
}
