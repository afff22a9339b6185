package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

/** A long answer that is sent to a slow engine is cut off at its deadline. */
class LongAnswerTest {
    private class Case(val name: String, val slowness: List<Double>)

    private val cases = listOf(
        Case("one of three engines is fast", listOf(0.6, 1.7, 1.7)),
        Case("slow engines share their hardware with another load", listOf(0.6, 3.0, 3.0)),
        Case("most engines are slow", listOf(0.6, 2.5, 2.5, 2.5)),
    )

    @Test
    fun `the longest tenth of answers is served at least half as often as all answers`() {
        val violations = cases.flatMap { case ->
            (0 until SEEDS).mapNotNull { seed ->
                val chats = AnswerLoad(seed, case.slowness).simulate(DURATION_MILLISECONDS).chats
                val longest = chats.sortedBy { it.outputTokens }.takeLast(chats.size / 10)
                "${case.name}, seed $seed: served ${served(longest)} of the longest tenth, ${served(chats)} of all"
                    .takeIf { served(longest) < served(chats) * MINIMUM_RATIO }
            }
        }
        assertEquals(emptyList(), violations)
    }

    /** Share of [streams] that were complete. */
    private fun served(streams: List<SimulatedStream>) = streams.count { it.endedAt != null } / streams.size.toDouble()

    private companion object {
        const val SEEDS = 5
        const val DURATION_MILLISECONDS = 60_000L

        /** The users' rule on sizes: the served share of the largest tenth is at least half of that of all. */
        const val MINIMUM_RATIO = 0.5
    }
}
