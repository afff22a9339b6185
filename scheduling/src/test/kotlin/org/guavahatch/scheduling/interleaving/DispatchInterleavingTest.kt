package org.guavahatch.scheduling.interleaving

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Runs the real dispatchers and schedulers under random faults: dropped and late frames, half-open connections, frozen
 * and restarted sidecars, restarted entry instances, planned stops. The seed in a failure's message reproduces it.
 */
class DispatchInterleavingTest {
    @Test
    fun `no schedule breaks a promise`() {
        for (seed in 1..SCHEDULES) {
            val world = World(seed)
            FaultSchedule(world).run(STEPS)
            check(seed, world)
        }
    }

    @Test
    fun `without faults every request is answered or not run`() {
        for (seed in 1..FAULTLESS_SCHEDULES) {
            val world = World(seed)
            FaultSchedule(world, withFaults = false).run(STEPS)
            check(seed, world)
        }
    }

    private fun check(seed: Int, world: World) {
        val told = world.entries.flatMap { it.told.entries }.associate { it.key to it.value.toList() }
        val dispatches = world.dispatches.groupBy { it.requestId }
        world.specifications.forEach { (requestId, specification) ->
            val attempts = dispatches[requestId].orEmpty()
            val label = "seed $seed, $requestId, ${specification.dispatch}, dispatched $attempts"
            checkOutcome(label, world, requestId, told[requestId].orEmpty(), attempts.size)
            assertEquals(attempts.size, attempts.map { it.attempt }.distinct().size, "$label: an attempt ran twice")
            if (specification.dispatch == DispatchRule.AT_MOST_ONCE) {
                assertTrue(attempts.size <= 1, "$label: it was dispatched more than once")
            }
            if (requestId in world.released) assertEquals(0, attempts.size, "$label: its claim was released")
        }
    }

    private fun checkOutcome(label: String, world: World, requestId: RequestId, told: List<Outcome>, dispatches: Int) {
        val wasLost = requestId.entry in world.crashedEntries
        assertTrue(wasLost || told.size == 1, "$label: its caller was told $told")
        when (told.singleOrNull()) {
            is Outcome.NotRun -> assertEquals(0, dispatches, "$label: its caller was told that it was not run")
            Outcome.Answered -> assertTrue(dispatches > 0, "$label: its caller was answered")
            is Outcome.Unknown, null -> Unit
        }
    }

    private companion object {
        const val SCHEDULES = 3000
        const val FAULTLESS_SCHEDULES = 300
        const val STEPS = 400
    }
}
