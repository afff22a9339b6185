package org.guavahatch.scheduling.rollout

import kotlin.math.ceil

/**
 * Bad answers of both sides, of one route in one slice of time.
 *
 * @property slice number of the slice
 * @property target answers of the target version
 * @property targetBad bad ones among them
 * @property previous answers of the old side
 * @property previousBad bad ones among them
 * @property isSimultaneous whether the answers of the old side are of the same time
 * @property previousTotalRate rate of bad answers of the old side on the route over the whole rollout
 */
internal class Stratum(
    val slice: Int,
    val target: Long,
    val targetBad: Long,
    val previous: Long,
    val previousBad: Long,
    val isSimultaneous: Boolean,
    val previousTotalRate: Double,
) {
    /**
     * Chance of a bad answer if both versions are equal. Short disturbances of single endpoints hit both sides at
     * different times, so it is at least the rate of the old side over the whole rollout.
     */
    val commonChance: Double
        get() = maxOf((targetBad + previousBad).toDouble() / (target + previous), previousTotalRate)

    /** The same with at most [limit] bad answers of the target. */
    fun withBadAtMost(limit: Long): Stratum =
        Stratum(slice, target, minOf(targetBad, limit), previous, previousBad, isSimultaneous, previousTotalRate)
}

/**
 * What is compared: the required difference, and how long it must persist.
 *
 * @property leastEffect least difference of the rates that counts
 * @property disturbedSlices least number of slices that a short disturbance of endpoints may explain
 * @property disturbedShare share of the slices that it may explain
 * @property persistentLogChance natural logarithm of the chance that the difference must reach in the other slices
 */
internal enum class Measure(
    val leastEffect: Double,
    val disturbedSlices: Int,
    val disturbedShare: Double,
    val persistentLogChance: Double,
) {
    /**
     * Callers notice 5 points. A disturbance of less than a second falls into two slices. With few endpoints under
     * test, two or three of them may follow each other. The rest of one is a few failures among as few answers: 4 of 7
     * has about exp(-5) when an old version fails at 9 in 100.
     */
    FAILURES(leastEffect = 0.05, disturbedSlices = 3, disturbedShare = 1.0 / 3, persistentLogChance = -9.0),

    /**
     * More points than for failures, as endpoints of one pool differ in speed and load. All answers of a slow version
     * may be bad, but only some are beyond the bound, so more persistence would exceed the time for a rollback.
     */
    SLOWNESS(leastEffect = 0.1, disturbedSlices = 2, disturbedShare = 0.0, persistentLogChance = -4.6),
}

/** Tests whether bad answers are more frequent at the target version than on the old side, within each of [strata]. */
internal class RateComparison(strata: List<Stratum>, private val measure: Measure) {
    private val strata = strata.filter { it.target > 0 && it.previous > 0 }
    private val answers = this.strata.sumOf { it.target }
    private val bad = this.strata.sumOf { it.targetBad }

    /** Rate of bad answers at the target version. */
    val targetRate: Double get() = bad.toDouble() / answers

    /** Rate of bad answers that the old side would have with the target's answers by stratum. */
    val previousRate: Double
        get() = strata.sumOf { it.target.toDouble() * it.previousBad / it.previous } / answers

    /**
     * Whether the difference is large enough and its chance is below exp([logChance]) for equal versions.
     *
     * The crash or short disturbance of one endpoint makes many answers bad at once, and only few endpoints of the
     * target version get requests. So with few bad answers the difference must also persist without the slices that
     * have most of them.
     */
    fun isWorse(logChance: Double): Boolean {
        if (!isDifferent(logChance)) return false
        return bad >= URGENT_BAD_ANSWERS || withoutWorstSlices().isDifferent(measure.persistentLogChance)
    }

    /**
     * Whether the target version [isWorse], or its bad answers are too many even if only [DOUBTFUL_BAD_ANSWERS] of each
     * slice, or an eighth of its answers, are counted. On a route with little traffic, a few slices have nearly all of
     * them.
     */
    fun isDoubtful(logChance: Double): Boolean {
        if (isWorse(logChance)) return true
        val capped = withCappedSlices()
        // Without simultaneous answers a larger difference is required, which the limited answers cannot show.
        val hasEffect = if (isCompared()) capped.hasEffect() else hasEffect()
        return hasEffect && capped.isUnlikely(logChance)
    }

    private fun withCappedSlices(): RateComparison {
        val left = HashMap<Int, Long>()
        strata.forEach { left.merge(it.slice, it.target, Long::plus) }
        left.replaceAll { _, all -> maxOf(DOUBTFUL_BAD_ANSWERS, all / DOUBTFUL_DIVISOR) }
        return RateComparison(
            strata.map { stratum ->
                val limit = left.getValue(stratum.slice)
                stratum.withBadAtMost(limit).also { left[stratum.slice] = limit - it.targetBad }
            },
            measure,
        )
    }

    private fun withoutWorstSlices(): RateComparison {
        val badBySlice = strata.groupBy { it.slice }.mapValues { (_, list) -> list.sumOf { it.targetBad } }
        val disturbed = maxOf(measure.disturbedSlices, ceil(badBySlice.size * measure.disturbedShare).toInt())
        val worst = badBySlice.entries.sortedByDescending { it.value }.take(disturbed).map { it.key }
        return RateComparison(strata.filter { it.slice !in worst }, measure)
    }

    private fun isDifferent(logChance: Double): Boolean = hasEffect() && isUnlikely(logChance)

    private fun hasEffect() = answers > 0 && targetRate - previousRate >= requiredEffect()

    private fun isUnlikely(logChance: Double): Boolean {
        val groups = strata.map { Trials(it.target.toDouble(), it.commonChance) }
        return TailProbability.logUpperTail(groups, bad.toDouble()) < logChance
    }

    private fun requiredEffect(): Double =
        if (isCompared()) measure.leastEffect else maxOf(measure.leastEffect, EFFECT_WITHOUT_COMPARISON)

    private fun isCompared() = strata.sumOf { if (it.isSimultaneous) it.target else 0 } * 2 >= answers

    /** Figures for the log. */
    fun describe(): String =
        "$bad/$answers against ${"%.3f".format(java.util.Locale.ROOT, previousRate)} of ${strata.sumOf { it.previous }}"

    private companion object {
        /** An impairment of both sides is not seen without simultaneous answers of the old side. */
        const val EFFECT_WITHOUT_COMPARISON = 0.2

        /** From the 50th bad answer on, the time allowed for a rollback runs. */
        const val URGENT_BAD_ANSWERS = 50L

        /** Short disturbances of a few endpoints stay below the required effect with this many. */
        const val DOUBTFUL_BAD_ANSWERS = 3L

        /** What a gateway that was cut off hears at once is in one slice, so an eighth of its answers may be bad. */
        const val DOUBTFUL_DIVISOR = 8L
    }
}
