package org.guavahatch.scheduling.rollout

/**
 * Bad answers of both sides, of one route in one slice of time.
 *
 * @property target answers of the target version
 * @property targetBad bad ones among them
 * @property previous answers of the old side
 * @property previousBad bad ones among them
 * @property isSimultaneous whether the answers of the old side are of the same time
 */
internal class Stratum(
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

    /** Whether the difference is at least [leastEffect] and its chance is below exp([logChance]) for equal versions. */
    fun isWorse(leastEffect: Double, logChance: Double): Boolean {
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
    }
}
