package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertTrue

/** A long prompt that is sent at once to a busy engine stalls the streams there beyond their pause objective. */
class PromptLoadTest {
    @Test
    fun `long prompts stall fewer streams when they wait for an endpoint with enough prefill capacity`() {
        val delayed = streams(hasPauseObjective = true)
        val immediate = streams(hasPauseObjective = false)
        val message = "delayed: ${summary(delayed)}; sent at once: ${summary(immediate)}"
        assertTrue(stalled(delayed) <= stalled(immediate) / 2, message)
        assertTrue(onTimeShare(delayed, 0) >= onTimeShare(immediate, 0), message)
        assertTrue(onTimeShare(delayed, 1) >= onTimeShare(immediate, 1), message)
    }

    private fun streams(hasPauseObjective: Boolean) = (0 until SEEDS).flatMap { seed ->
        PromptLoad(seed, hasPauseObjective).simulate(DURATION_MILLISECONDS).streams
    }

    private fun stalled(streams: List<SimulatedStream>) =
        streams.count { it.longestPause > PromptLoad.PAUSE_OBJECTIVE_MILLISECONDS }

    private fun onTimeShare(streams: List<SimulatedStream>, rank: Int) =
        streams.filter { it.request.rank == rank }.map { if (PromptLoad.meetsObjectives(it)) 1.0 else 0.0 }.average()

    private fun summary(streams: List<SimulatedStream>) = "${stalled(streams)} of ${streams.size} stalled, " +
        "on time by rank: ${onTimeShare(streams, 0)}, ${onTimeShare(streams, 1)}"

    private companion object {
        const val SEEDS = 5
        const val DURATION_MILLISECONDS = 20_000L
    }
}
