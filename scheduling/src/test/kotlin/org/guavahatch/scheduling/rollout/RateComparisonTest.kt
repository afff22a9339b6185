package org.guavahatch.scheduling.rollout

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Evidence that seeds of [RolloutSimulationTest] met, and that was judged wrongly. */
class RateComparisonTest {
    /** One line for each slice; in it `bad/target bad/old` for each route, all answers as counted. */
    private fun strata(lines: String, totalRates: List<Double>): List<Stratum> =
        lines.trimIndent().lines().flatMapIndexed { slice, line ->
            line.split(", ").mapIndexed { route, counts ->
                val (target, previous) = counts.split(' ').map { side -> side.split('/').map { it.toLong() } }
                Stratum(slice, target[1], target[0], previous[1], previous[0], true, totalRates[route])
            }
        }

    @Test
    fun `short disturbances of a few endpoints that follow each other are not taken for a bad version`() {
        val disturbed = strata(
            """
            1/13 4/155, 2/9 5/68, 2/6 7/49
            4/14 5/148, 0/3 3/79, 0/2 4/66
            4/20 5/165, 5/8 2/92, 4/6 2/52
            2/3 0/21, 1/2 0/14, 1/2 0/4
            """,
            listOf(0.04, 0.066, 0.088),
        )
        assertEquals(false, RateComparison(disturbed, Measure.FAILURES).isWorse(LOG_CHANCE_OF_A_LOOK))
    }

    @Test
    fun `a route whose few bad answers are in a few slices is in doubt, but one disturbance of a good one is not`() =
        listOf(
            "3/9 0/54\n0/4 0/54\n1/2 0/42\n1/9 0/60\n2/5 0/52\n0/3 0/50\n0/2 0/44" to true,
            "0/7 0/42\n4/7 0/42\n0/1 0/41\n0/4 0/51\n0/5 0/55\n6/10 0/52\n0/4 0/57\n0/2 0/42\n1/4 0/53" to true,
            "0/24 0/240\n6/24 0/240\n6/24 0/240\n0/24 0/240\n0/24 0/240\n0/24 0/240\n0/24 0/240" to false,
            "0/24 0/240\n0/24 0/240\n0/2 0/240\n0/2 0/240\n30/130 0/1300" to true,
        ).forEach { (lines, isDoubtful) ->
            val comparison = RateComparison(strata(lines, listOf(0.0)), Measure.FAILURES)
            assertEquals(isDoubtful, comparison.isDoubtful(LOG_CHANCE_OF_FIRST_DOUBT), lines)
        }

    @Test
    fun `a version that fails half of few answers is in doubt, though the old side had none at the same time`() {
        val strata = listOf(0, 1).map { Stratum(it, 16, 8, 400, 2, isSimultaneous = false, previousTotalRate = 0.005) }
        assertTrue(RateComparison(strata, Measure.FAILURES).isDoubtful(LOG_CHANCE_OF_FIRST_DOUBT))
    }

    private companion object {
        /** Levels of [RolloutJudge] for three routes and an order of 12 s. */
        const val LOG_CHANCE_OF_A_LOOK = -16.5
        const val LOG_CHANCE_OF_FIRST_DOUBT = -5.7
    }
}
