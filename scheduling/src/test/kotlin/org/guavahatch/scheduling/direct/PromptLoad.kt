package org.guavahatch.scheduling.direct

import kotlin.random.Random

/**
 * Simulates a load of long prompts and long streams in virtual time, at one fast and two slow engines.
 *
 * @property hasPauseObjective whether requests state the longest pause, so that the chooser may delay long prompts
 */
internal class PromptLoad(seed: Int, private val hasPauseObjective: Boolean) {
    private val random = Random(seed)
    private val pool = SimulatedPool(seed, slowness = listOf(0.6, 1.7, 1.7))

    /** All requests, whether they were sent or not. */
    val streams: List<SimulatedStream> get() = pool.streams

    /** Simulates [milliseconds]. */
    fun simulate(milliseconds: Long): PromptLoad {
        for (now in 1L..milliseconds) {
            if (random.nextInt(1_000) < LONG_PROMPTS_PER_SECOND) submit(0, PROMPT_TOKENS.random(random), 51, now)
            if (random.nextInt(1_000) < CHATS_PER_SECOND) submit(1, 540, 260, now)
            pool.advanceTo(now)
        }
        return this
    }

    private fun submit(rank: Int, promptTokens: Long, outputTokens: Int, now: Long) {
        val request = waitingRequest(pool.nextSequence, rank, now, target = LATENCY_OBJECTIVE_MILLISECONDS)
            .copy(
                promptTokens = promptTokens,
                longestPauseMilliseconds = PAUSE_OBJECTIVE_MILLISECONDS.takeIf { hasPauseObjective },
                deadline = Long.MAX_VALUE,
                patienceEndsAt = Long.MAX_VALUE,
            )
        pool.submit(request, outputTokens)
    }

    companion object {
        const val LATENCY_OBJECTIVE_MILLISECONDS = 800L
        const val PAUSE_OBJECTIVE_MILLISECONDS = 300L
        private const val LONG_PROMPTS_PER_SECOND = 10
        private const val CHATS_PER_SECOND = 4
        private val PROMPT_TOKENS = listOf(800L, 2_000L, 4_000L, 9_000L)

        fun meetsObjectives(stream: SimulatedStream): Boolean =
            (stream.firstEventAfter ?: Long.MAX_VALUE) <= LATENCY_OBJECTIVE_MILLISECONDS &&
                stream.longestPause <= PAUSE_OBJECTIVE_MILLISECONDS
    }
}
