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

/** Tests whether bad answers are more frequent at the target version than on the old side, within each of [strata]. */
internal class RateComparison(strata: List<Stratum>) {
    private val strata = strata.filter { it.target > 0 && it.previous > 0 }
    private val answers = this.strata.sumOf { it.target }
    private val bad = this.strata.sumOf { it.targetBad }

    /** Rate of bad answers at the target version. */
    val targetRate: Double get() = bad.toDouble() / answers

    /** Rate of bad answers that the old side would have with the target's answers by stratum. */
    val previousRate: Double
        get() = strata.sumOf { it.target.toDouble() * it.previousBad / it.previous } / answers

    /**
     * Whether the difference is at least [leastEffect] and its chance is below exp([logChance]) for equal versions.
     *
     * The crash or short disturbance of one endpoint makes many answers bad at once, and only few endpoints of the
     * target version get requests. So with few bad answers the difference must also persist without the slices that
     * have most of them.
     */
    fun isWorse(leastEffect: Double, logChance: Double): Boolean {
        if (!isDifferent(leastEffect, logChance)) return false
        return bad >= URGENT_BAD_ANSWERS || withoutWorstSlices().isDifferent(leastEffect, PERSISTENT_LOG_CHANCE)
    }

    /**
     * Whether the target version [isWorse], or would be different with only [DOUBTFUL_BAD_ANSWERS] of the bad answers
     * of each slice. On a route with little traffic, the slices with most bad answers have nearly all of them.
     */
    fun isDoubtful(leastEffect: Double, logChance: Double): Boolean =
        isWorse(leastEffect, logChance) || withCappedSlices().isDifferent(leastEffect, logChance)

    private fun withCappedSlices(): RateComparison {
        val left = HashMap<Int, Long>()
        return RateComparison(
            strata.map { stratum ->
                val limit = left.getOrDefault(stratum.slice, DOUBTFUL_BAD_ANSWERS)
                stratum.withBadAtMost(limit).also { left[stratum.slice] = limit - it.targetBad }
            },
        )
    }

    private fun withoutWorstSlices(): RateComparison {
        val badBySlice = strata.groupBy { it.slice }.mapValues { (_, list) -> list.sumOf { it.targetBad } }
        val disturbed = maxOf(DISTURBED_SLICES, ceil(badBySlice.size * DISTURBED_SHARE).toInt())
        val worst = badBySlice.entries.sortedByDescending { it.value }.take(disturbed).map { it.key }
        return RateComparison(strata.filter { it.slice !in worst })
    }

    private fun isDifferent(leastEffect: Double, logChance: Double): Boolean {
        if (answers == 0L || targetRate - previousRate < requiredEffect(leastEffect)) return false
        val groups = strata.map { stratum ->
            Trials(stratum.target.toDouble(), stratum.commonChance)
        }
        return TailProbability.logUpperTail(groups, bad.toDouble()) < logChance
    }

    private fun requiredEffect(leastEffect: Double): Double {
        val simultaneous = strata.sumOf { if (it.isSimultaneous) it.target else 0 }
        return if (simultaneous * 2 >= answers) leastEffect else maxOf(leastEffect, EFFECT_WITHOUT_COMPARISON)
    }

    /** Figures for the log. */
    fun describe(): String =
        "$bad/$answers against ${"%.3f".format(java.util.Locale.ROOT, previousRate)} of ${strata.sumOf { it.previous }}"

    private companion object {
        /** An impairment of both sides is not seen without simultaneous answers of the old side. */
        const val EFFECT_WITHOUT_COMPARISON = 0.2

        /** From the 50th bad answer on, the time allowed for a rollback runs. */
        const val URGENT_BAD_ANSWERS = 50L

        /**
         * A disturbance of less than a second falls into two slices. With few endpoints under test, two or three such
         * disturbances may follow each other, so a third of the slices counts as disturbed, and three at least.
         */
        const val DISTURBED_SLICES = 3
        const val DISTURBED_SHARE = 1.0 / 3

        /**
         * Natural logarithm of 1 in 8,000. The rest of a disturbance is a few failures among as few answers: 4 of 7 has
         * about exp(-5) when an old version fails at 9 in 100.
         */
        const val PERSISTENT_LOG_CHANCE = -9.0

        /** Short disturbances of a few endpoints stay below the required effect with this many. */
        const val DOUBTFUL_BAD_ANSWERS = 3L
    }
}
