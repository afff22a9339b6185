package org.guavahatch.scheduling.tier

import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that in a burst of ten times the capacity no request is shed while one of a lower tier is started. */
class TierInversionTest {
    private val entry = Incarnation("entry")

    private fun accepted(number: Long, rank: Int, atMilliseconds: Long) =
        TierRecord.Accepted(RequestId(entry, number), rank, atMilliseconds)

    private fun started(number: Long, rank: Int, atMilliseconds: Long) =
        TierRecord.Started(RequestId(entry, number), rank, atMilliseconds)

    private fun shed(number: Long, rank: Int, atMilliseconds: Long) =
        TierRecord.Shed(RequestId(entry, number), rank, atMilliseconds)

    @Test
    fun `the checker finds exactly the inversions in a list of records`() {
        class Case(val name: String, val records: List<TierRecord>, val inversions: Int)
        listOf(
            Case("nothing shed", listOf(accepted(1, 0, 0), started(1, 0, 100)), 0),
            Case("lower started before", listOf(started(2, 3, 0), accepted(1, 0, 10), shed(1, 0, 500)), 0),
            Case("lower started while waiting", listOf(accepted(1, 0, 0), started(2, 3, 200), shed(1, 0, 500)), 1),
            Case("same tier started while waiting", listOf(accepted(1, 1, 0), started(2, 1, 200), shed(1, 1, 500)), 0),
            Case("higher started while waiting", listOf(accepted(1, 1, 0), started(2, 0, 200), shed(1, 1, 500)), 0),
            Case(
                "lower started before the request is known to the pool",
                listOf(accepted(1, 0, 0), started(2, 3, 20), shed(1, 0, 500)),
                0,
            ),
            Case("lower started after", listOf(accepted(1, 0, 0), shed(1, 0, 500), started(2, 3, 501)), 0),
            Case(
                "two lower started",
                listOf(accepted(1, 0, 0), started(2, 3, 200), started(3, 1, 300), shed(1, 0, 500)),
                2,
            ),
        ).forEach { case ->
            assertEquals(
                case.inversions,
                InversionChecker(PROPAGATION_MILLISECONDS).inversions(case.records).size,
                case.name,
            )
        }
    }

    @Test
    fun `a burst of ten times the capacity causes no inversion`() {
        (1..SEEDS).forEach { seed ->
            val simulation = BurstSimulation(seed)
            simulation.run()
            val shedRequests = simulation.records.filterIsInstance<TierRecord.Shed>()
            assertTrue(
                shedRequests.size > MINIMUM_SHED_REQUESTS,
                "seed $seed: the burst shed only ${shedRequests.size} requests",
            )
            val inversions = InversionChecker(PROPAGATION_MILLISECONDS).inversions(simulation.records)
            assertEquals(emptyList(), inversions.take(3), "seed $seed: ${inversions.size} inversions")
        }
    }

    private companion object {
        /** Time for the first offers, the offers to all endpoints and two messages. */
        const val PROPAGATION_MILLISECONDS = 40L
        const val SEEDS = 10
        const val MINIMUM_SHED_REQUESTS = 1000
    }
}
