package org.guavahatch.scheduling.rollout

import org.guavahatch.scheduling.rollout.CountVector.Histogram
import kotlin.math.ln
import kotlin.math.pow

/**
 * Judges the target version by the answers of all gateways.
 *
 * @param durationMilliseconds time limit of the rollout, which determines how often the evidence is judged
 */
internal class RolloutJudge(durationMilliseconds: Long) {
    private val looks = maxOf(1L, durationMilliseconds / REVIEW_INTERVAL)

    /**
     * A finding against the target version.
     *
     * @property reason `failures` or `slow`
     * @property evidence the figures
     */
    class Finding(val reason: String, val evidence: String)

    /** Evidence to be judged; [previousEndpoints] are the sample buckets of the old side's endpoints. */
    class Evidence(
        val slices: List<Map<EvidenceKey, CountVector>>,
        val total: Map<EvidenceKey, CountVector>,
        val previousEndpoints: List<Int>,
    ) {
        val routes = total.keys.filter { it.isTarget && total.getValue(it).answers > 0 }.map { it.route }.sorted()
        val targetAnswers get() = routes.sumOf { total.getValue(EvidenceKey(it, isTarget = true)).answers }
    }

    /** Returns why the target version is bad, or null. Wrong once in 1,000 rollouts of good versions at most. */
    fun findBad(evidence: Evidence): Finding? = find(evidence, WRONG_VERDICTS / looks, RateComparison::isWorse)

    /**
     * Returns what makes the target version too doubtful for promotion, or null.
     *
     * The promotion of a bad version cannot be made good, while a good version that looks doubtful only waits for more
     * answers. So the level falls from [FIRST_DOUBT] to [WRONG_VERDICTS] with the share [waited], 0 to 1, of the time
     * that is left.
     */
    fun findSuspicion(evidence: Evidence, waited: Double): Finding? {
        val chance = FIRST_DOUBT * (WRONG_VERDICTS / FIRST_DOUBT).pow(waited.coerceIn(0.0, 1.0))
        return find(evidence, chance, RateComparison::isDoubtful)
    }

    private fun find(evidence: Evidence, chance: Double, test: (RateComparison, Double) -> Boolean): Finding? {
        val logChance = ln(chance / ((evidence.routes.size + 1) * MEASURES * WINDOWS.size))
        val isFound: Criterion = { test(it, logChance) }
        return findFailures(evidence, isFound)
            ?: Histogram.entries.firstNotNullOfOrNull { findSlowness(evidence, it, isFound) }
    }

    private fun findFailures(evidence: Evidence, isFound: Criterion): Finding? {
        val strata = strataOf(evidence) { slice, route ->
            stratum(evidence, slice, route) { it.answers to it.failures + it.lost }
        }
        return WINDOWS.firstNotNullOfOrNull { findIn(strata, it, Measure.FAILURES, isFound) }
            ?.let { Finding("failures", it) }
    }

    private fun findSlowness(evidence: Evidence, histogram: Histogram, isFound: Criterion): Finding? {
        val bounds = evidence.routes.associateWith { route ->
            evidence.total[EvidenceKey(route, isTarget = false)]
                ?.let { SlownessBound.lastBucket(it, histogram, evidence.previousEndpoints) }
        }
        val strata = strataOf(evidence) { slice, route ->
            bounds[route]?.let { slow(evidence, slice, route, histogram, it) }
        }
        return WINDOWS.firstNotNullOfOrNull { findIn(strata, it, Measure.SLOWNESS, isFound) }
            ?.let { Finding("slow", "$histogram, $it") }
    }

    private fun strataOf(evidence: Evidence, stratum: (Int, String) -> Stratum?): Map<String, List<Stratum?>> =
        evidence.routes.associateWith { route -> evidence.slices.indices.map { stratum(it, route) } }

    /** Returns the figures of the first route for which the target is worse in the last [window] slices, or null. */
    private fun findIn(
        strata: Map<String, List<Stratum?>>,
        window: Int,
        measure: Measure,
        isFound: Criterion,
    ): String? {
        val recent = strata.mapValues { it.value.takeLast(window).filterNotNull() }
        val groups = recent.map { (route, list) -> "route $route" to list } + ("all routes" to recent.values.flatten())
        return groups.firstNotNullOfOrNull { (name, list) ->
            val comparison = RateComparison(list, measure)
            if (isFound(comparison)) "$name: ${comparison.describe()}" else null
        }
    }

    private fun slow(evidence: Evidence, slice: Int, route: String, histogram: Histogram, lastBucket: Int): Stratum? =
        stratum(evidence, slice, route) {
            it.countAfter(histogram, -1) to it.countAfter(histogram, lastBucket)
        }

    /** Compares with the old side in the same slice, or with all its answers if that has too few. */
    private fun stratum(
        evidence: Evidence,
        slice: Int,
        route: String,
        countsOf: (CountVector) -> Pair<Long, Long>,
    ): Stratum? {
        val targetCounts = evidence.slices[slice][EvidenceKey(route, isTarget = true)] ?: return null
        val (target, targetBad) = countsOf(targetCounts)
        val key = EvidenceKey(route, isTarget = false)
        val (previous, previousBad) = evidence.slices[slice][key]?.let { countsOf(it) } ?: (0L to 0L)
        val (all, allBad) = evidence.total[key]?.let { countsOf(it) } ?: (0L to 0L)
        val totalRate = if (all == 0L) 0.0 else allBad.toDouble() / all
        return when {
            previous * 2 >= target ->
                Stratum(slice, target, targetBad, previous, previousBad, isSimultaneous = true, totalRate)
            all > 0 -> Stratum(slice, target, targetBad, all, allBad, isSimultaneous = false, totalRate)
            else -> null
        }
    }

    private companion object {
        const val REVIEW_INTERVAL = 100L

        /** Half of the 1 in 1,000 that operators accept; the other half is for [findSuspicion]. */
        const val WRONG_VERDICTS = 0.0005
        const val MEASURES = 3

        /** A good version in five may wait for more answers, as a doubt ends with them. */
        const val FIRST_DOUBT = 0.2

        /** Numbers of latest slices that are judged together. */
        val WINDOWS = listOf(2, 4, 8, 16, Int.MAX_VALUE)
    }
}

/** Whether a comparison is a finding. */
private typealias Criterion = (RateComparison) -> Boolean
