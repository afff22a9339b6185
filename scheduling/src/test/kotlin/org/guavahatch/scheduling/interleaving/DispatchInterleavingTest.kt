package org.guavahatch.scheduling.interleaving

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Runs the real dispatchers and schedulers under random faults: dropped, repeated and delayed frames, half-open
 * connections, frozen and restarted sidecars, restarted entry instances and planned stops. Guards against an attempt
 * that is dispatched twice and against an outcome that contradicts what was dispatched. The seed in a failure message
 * reproduces the failure.
 */
class DispatchInterleavingTest {
    @Test
    fun `no fault schedule violates the dispatch guarantees`() {
        for (seed in 1..SCHEDULES) {
            val cluster = SimulatedCluster(seed)
            FaultSchedule(cluster).run(STEPS)
            checkGuarantees(seed, cluster)
        }
    }

    @Test
    fun `without faults every request is answered or not run`() {
        for (seed in 1..FAULTLESS_SCHEDULES) {
            val cluster = SimulatedCluster(seed)
            FaultSchedule(cluster, withFaults = false).run(STEPS)
            checkGuarantees(seed, cluster)
        }
    }

    private fun checkGuarantees(seed: Int, cluster: SimulatedCluster) {
        val reportedOutcomes = cluster.entries
            .flatMap { it.reportedOutcomes.entries }
            .associate { it.key to it.value.toList() }
        val dispatches = cluster.dispatches.groupBy { it.requestId }
        cluster.specifications.forEach { (requestId, specification) ->
            val attempts = dispatches[requestId].orEmpty()
            val label = "seed $seed, $requestId, ${specification.dispatch}, dispatched $attempts"
            checkOutcome(label, cluster, requestId, reportedOutcomes[requestId].orEmpty(), attempts.size)
            assertEquals(attempts.size, attempts.map { it.attempt }.distinct().size, "$label: an attempt ran twice")
            if (specification.dispatch == DispatchRule.AT_MOST_ONCE) {
                assertTrue(attempts.size <= 1, "$label: it was dispatched more than once")
            }
            if (requestId in cluster.releasedClaims) assertEquals(0, attempts.size, "$label: its claim was released")
        }
    }

    private fun checkOutcome(
        label: String,
        cluster: SimulatedCluster,
        requestId: RequestId,
        reportedOutcomes: List<Outcome>,
        dispatches: Int,
    ) {
        val hasEntryCrashed = requestId.entry in cluster.crashedEntries
        assertTrue(hasEntryCrashed || reportedOutcomes.size == 1, "$label: its caller was told $reportedOutcomes")
        when (reportedOutcomes.singleOrNull()) {
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
