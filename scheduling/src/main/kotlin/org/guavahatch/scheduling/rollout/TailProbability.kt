package org.guavahatch.scheduling.rollout

import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.expm1
import kotlin.math.ln
import kotlin.math.ln1p
import kotlin.math.sqrt

/**
 * Trials that share a chance of success.
 *
 * @property trials number of trials
 * @property chance chance of success of each, 0 to 1
 */
internal class Trials(val trials: Double, val chance: Double)

/** Upper tail of sums of binomial counts. */
internal object TailProbability {
    private const val STEPS = 50
    private const val LARGEST_TILT = 40.0

    /**
     * Returns the natural logarithm of the chance that all [groups] together have at least [successes] successes, by
     * the saddlepoint approximation for counts (Daniels 1987). A normal approximation is far too low for the few
     * failures that matter here.
     */
    fun logUpperTail(groups: List<Trials>, successes: Double): Double {
        val open = groups.filter { it.chance > 0 }
        if (successes <= open.sumOf { it.trials * it.chance }) return 0.0
        if (successes >= open.sumOf { it.trials }) return open.sumOf { it.trials * ln(it.chance) }
        val tilt = solveTilt(open, successes)
        val exponent = open.sumOf { it.trials * ln1p(it.chance * expm1(tilt)) } - tilt * successes
        val variance = open.sumOf { group -> tiltedChance(group, tilt).let { group.trials * it * (1 - it) } }
        val correction = ln(-expm1(-tilt) * sqrt(2 * PI * variance))
        return minOf(0.0, exponent - maxOf(0.0, correction))
    }

    private fun solveTilt(groups: List<Trials>, successes: Double): Double {
        var low = 0.0
        var high = LARGEST_TILT
        repeat(STEPS) {
            val middle = (low + high) / 2
            val mean = groups.sumOf { it.trials * tiltedChance(it, middle) }
            if (mean < successes) low = middle else high = middle
        }
        return (low + high) / 2
    }

    private fun tiltedChance(group: Trials, tilt: Double): Double {
        val weight = group.chance * exp(tilt)
        return weight / (1 - group.chance + weight)
    }
}
