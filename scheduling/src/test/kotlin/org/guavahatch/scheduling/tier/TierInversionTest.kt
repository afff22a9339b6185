package org.guavahatch.scheduling.tier

import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** No higher tier is shed while a lower one is served, in the middle of a burst of ten times the capacity. */
class TierInversionTest {
    private val entry = Incarnation("entry")

    private fun accepted(number: Long, rank: Int, atMs: Long) =
        TierRecord.Accepted(RequestId(entry, number), rank, atMs)

    private fun started(number: Long, rank: Int, atMs: Long) = TierRecord.Started(RequestId(entry, number), rank, atMs)

    private fun shed(number: Long, rank: Int, atMs: Long) = TierRecord.Shed(RequestId(entry, number), rank, atMs)

    @Test
    fun `the checker finds planted inversions and nothing else`() {
        class Case(val name: String, val records: List<TierRecord>, val inversions: Int)
        listOf(
            Case("nothing shed", listOf(accepted(1, 0, 0), started(1, 0, 100)), 0),
            Case("lower started before", listOf(started(2, 3, 0), accepted(1, 0, 10), shed(1, 0, 500)), 0),
            Case("lower started while waiting", listOf(accepted(1, 0, 0), started(2, 3, 200), shed(1, 0, 500)), 1),
            Case("same tier started while waiting", listOf(accepted(1, 1, 0), started(2, 1, 200), shed(1, 1, 500)), 0),
            Case("higher started while waiting", listOf(accepted(1, 1, 0), started(2, 0, 200), shed(1, 1, 500)), 0),
            Case("lower started while news spread", listOf(accepted(1, 0, 0), started(2, 3, 20), shed(1, 0, 500)), 0),
            Case("lower started after", listOf(accepted(1, 0, 0), shed(1, 0, 500), started(2, 3, 501)), 0),
            Case(
                "two lower started",
                listOf(accepted(1, 0, 0), started(2, 3, 200), started(3, 1, 300), shed(1, 0, 500)),
                2,
            ),
        ).forEach { case ->
            assertEquals(case.inversions, InversionChecker(SPREAD_MS).inversions(case.records).size, case.name)
        }
    }

    @Test
    fun `a burst of ten times the capacity leads to no inversion`() {
        (1..SEEDS).forEach { seed ->
            val simulation = BurstSimulation(seed)
            simulation.run()
            val sheds = simulation.records.filterIsInstance<TierRecord.Shed>()
            assertTrue(sheds.size > LEAST_SHEDS, "seed $seed: the burst sheds ${sheds.size} requests only")
            val inversions = InversionChecker(SPREAD_MS).inversions(simulation.records)
            assertEquals(emptyList(), inversions.take(3), "seed $seed: ${inversions.size} inversions")
        }
    }

    private companion object {
        /** Time of the first offers, of the offers to all, and of two messages. */
        const val SPREAD_MS = 40L
        const val SEEDS = 10
        const val LEAST_SHEDS = 1000
    }
}
