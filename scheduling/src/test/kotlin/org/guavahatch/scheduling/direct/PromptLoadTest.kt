package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertTrue

class PromptLoadTest {
    @Test
    fun `long prompts stall fewer streams when they wait for an endpoint that can take them`() {
        val held = (0 until SEEDS).flatMap { PromptLoad(it, holdsBack = true).play(LENGTH_MILLISECONDS).streams }
        val sent = (0 until SEEDS).flatMap { PromptLoad(it, holdsBack = false).play(LENGTH_MILLISECONDS).streams }
        val figures = "held back: ${figures(held)}; sent at once: ${figures(sent)}"
        assertTrue(stalled(held) <= stalled(sent) / 2, figures)
        assertTrue(punctual(held, 0) >= punctual(sent, 0), figures)
        assertTrue(punctual(held, 1) >= punctual(sent, 1), figures)
    }

    private fun stalled(streams: List<SimulatedStream>) =
        streams.count { it.longestPause > PromptLoad.PAUSE_MILLISECONDS }

    private fun punctual(streams: List<SimulatedStream>, rank: Int) =
        streams.filter { it.request.rank == rank }.map { if (PromptLoad.isPunctual(it)) 1.0 else 0.0 }.average()

    private fun figures(streams: List<SimulatedStream>) =
        "${stalled(streams)} of ${streams.size} stalled, punctual ${punctual(streams, 0)}, ${punctual(streams, 1)}"

    private companion object {
        const val SEEDS = 5
        const val LENGTH_MILLISECONDS = 20_000L
    }
}
