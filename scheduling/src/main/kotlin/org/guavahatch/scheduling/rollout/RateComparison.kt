package org.guavahatch.scheduling.rollout

/**
 * Bad answers of both sides, of one route in one slice of time.
 *
 * @property slice number of the slice
 * @property target answers of the target version
 * @property targetBad bad ones among them
 * @property previous answers of the old side
 * @property previousBad bad ones among them
 * @property isSimultaneous whether the answers of the old side are of the same time
 */
internal class Stratum(
    val slice: Int,
    val target: Long,
    val targetBad: Long,
    val previous: Long,
    val previousBad: Long,
    val isSimultaneous: Boolean,
)

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
     * The crash or short disturbance of one endpoint makes many answers bad at once. So with few bad answers the
     * difference must also persist without the two slices that have most of them.
     */
    fun isWorse(leastEffect: Double, logChance: Double): Boolean {
        if (!isDifferent(leastEffect, logChance)) return false
        return bad >= URGENT_BAD_ANSWERS || withoutWorstSlices().isDifferent(leastEffect, PERSISTENT_LOG_CHANCE)
    }

    private fun withoutWorstSlices(): RateComparison {
        val badBySlice = strata.groupBy { it.slice }.mapValues { (_, list) -> list.sumOf { it.targetBad } }
        val worst = badBySlice.entries.sortedByDescending { it.value }.take(DISTURBED_SLICES).map { it.key }
        return RateComparison(strata.filter { it.slice !in worst })
    }

    private fun isDifferent(leastEffect: Double, logChance: Double): Boolean {
        if (answers == 0L || targetRate - previousRate < requiredEffect(leastEffect)) return false
        val groups = strata.map { stratum ->
            val all = stratum.target + stratum.previous
            Trials(stratum.target.toDouble(), (stratum.targetBad + stratum.previousBad).toDouble() / all)
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

        /** A disturbance of less than a second falls into two slices. */
        const val DISTURBED_SLICES = 2

        /** Natural logarithm of 1 in 100; the chance of a wrong verdict is bounded by the first test already. */
        const val PERSISTENT_LOG_CHANCE = -4.6
    }
}
