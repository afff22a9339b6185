package org.guavahatch.scheduling.rollout

import kotlinx.collections.immutable.toImmutableList

/** Mutable [EvidenceCounts] that can be added and subtracted. */
internal class CountVector private constructor(private val values: LongArray) {
    constructor() : this(LongArray(SIZE))

    val answers: Long get() = values[ANSWERS]
    val failures: Long get() = values[FAILURES]
    val lost: Long get() = values[LOST]

    fun copy(): CountVector = CountVector(values.copyOf())

    fun add(other: CountVector, factor: Int = 1) {
        for (index in values.indices) values[index] += factor * other.values[index]
    }

    /** Adds [counts]; excess and negative values of a faulty peer are left out. */
    fun add(counts: EvidenceCounts, factor: Int = 1) {
        values[ANSWERS] += factor * maxOf(0, counts.answers)
        values[FAILURES] += factor * maxOf(0, counts.failures)
        values[LOST] += factor * maxOf(0, counts.lost)
        addList(Histogram.FIRST_EVENT.offset, DurationBuckets.COUNT, counts.firstEventBuckets, factor)
        addList(Histogram.EVENT_INTERVAL.offset, DurationBuckets.COUNT, counts.eventIntervalBuckets, factor)
        addList(ENDPOINTS, EndpointSample.COUNT, counts.endpointBuckets, factor)
    }

    private fun addList(offset: Int, count: Int, list: List<Long>, factor: Int) {
        for (index in 0 until minOf(count, list.size)) values[offset + index] += factor * maxOf(0, list[index])
    }

    fun recordResult(result: AnswerResult) {
        values[ANSWERS]++
        if (result == AnswerResult.FAILURE) values[FAILURES]++
        if (result == AnswerResult.LOST) values[LOST]++
    }

    fun recordDuration(histogram: Histogram, milliseconds: Double) {
        values[histogram.offset + DurationBuckets.indexOf(milliseconds)]++
    }

    fun recordEndpoint(bucket: Int) {
        values[ENDPOINTS + bucket]++
    }

    fun endpointAnswers(bucket: Int): Long = values[ENDPOINTS + bucket]

    /** Number of durations in the buckets after [index]; -1 counts all. */
    fun countAfter(histogram: Histogram, index: Int): Long =
        (index + 1 until DurationBuckets.COUNT).sumOf { values[histogram.offset + it] }

    /** Returns the bucket with the quantile [share], 0 to 1, or null without durations. */
    fun quantile(histogram: Histogram, share: Double): Int? {
        val total = countAfter(histogram, -1)
        if (total <= 0) return null
        var below = 0L
        return (0 until DurationBuckets.COUNT).first { index ->
            below += values[histogram.offset + index]
            below >= share * total
        }
    }

    fun toCounts() = EvidenceCounts(
        answers,
        failures,
        lost,
        listAt(Histogram.FIRST_EVENT.offset, DurationBuckets.COUNT),
        listAt(Histogram.EVENT_INTERVAL.offset, DurationBuckets.COUNT),
        listAt(ENDPOINTS, EndpointSample.COUNT),
    )

    /** Trailing zeros are left out, as they need space in a datagram. */
    private fun listAt(offset: Int, count: Int) =
        values.slice(offset until offset + count).dropLastWhile { it == 0L }.toImmutableList()

    enum class Histogram(val offset: Int) {
        FIRST_EVENT(FIRST_DURATION),
        EVENT_INTERVAL(FIRST_DURATION + DurationBuckets.COUNT),
    }

    companion object {
        private const val ANSWERS = 0
        private const val FAILURES = 1
        private const val LOST = 2
        private const val FIRST_DURATION = 3
        private const val ENDPOINTS = FIRST_DURATION + 2 * DurationBuckets.COUNT
        private const val SIZE = ENDPOINTS + EndpointSample.COUNT
    }
}
