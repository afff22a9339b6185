package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

class LongAnswerTest {
    private class Case(val name: String, val slowness: List<Double>)

    private val cases = listOf(
        Case("one of three engines is fast", listOf(0.6, 1.7, 1.7)),
        Case("slow engines have a neighbour that slows them", listOf(0.6, 3.0, 3.0)),
        Case("most engines are slow", listOf(0.6, 2.5, 2.5, 2.5)),
    )

    @Test
    fun `the longest tenth of answers is not lost at engines that cannot finish them in time`() {
        val short = cases.flatMap { case ->
            (0 until SEEDS).mapNotNull { seed ->
                val chats = AnswerLoad(seed, case.slowness).play(LENGTH_MILLISECONDS).chats
                val longest = chats.sortedBy { it.outputTokens }.takeLast(chats.size / 10)
                "${case.name}, seed $seed: of the longest tenth ${served(longest)} were served, of all ${served(chats)}"
                    .takeIf { served(longest) < served(chats) * LEAST_PART }
            }
        }
        assertEquals(emptyList(), short)
    }

    private fun served(streams: List<SimulatedStream>) = streams.count { it.endedAt != null } / streams.size.toDouble()

    private companion object {
        const val SEEDS = 5
        const val LENGTH_MILLISECONDS = 60_000L

        /** The users' rule of sizes: the largest tenth is served at least half as often as all. */
        const val LEAST_PART = 0.5
    }
}
