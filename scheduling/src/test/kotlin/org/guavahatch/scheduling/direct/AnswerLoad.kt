package org.guavahatch.scheduling.direct

import kotlin.math.exp
import kotlin.math.min
import kotlin.random.Random
import kotlin.random.asJavaRandom

/**
 * Simulates a load of chats with answers of very different length beside urgent long prompts, at busy engines of
 * different speed; times are virtual milliseconds. The median of the callers' estimates of the length is right, but
 * single estimates are often far off.
 */
internal class AnswerLoad(seed: Int, slowness: List<Double>) {
    private val random = Random(seed)
    private val pool = SimulatedPool(seed, slowness)

    /** The chats, whether they were sent or not. */
    val chats: List<SimulatedStream> get() = pool.streams.filter { it.request.rank == CHAT_RANK }

    /** Simulates [milliseconds] of traffic and then the time until every deadline has passed. */
    fun simulate(milliseconds: Long): AnswerLoad {
        for (now in 1L..milliseconds + DEADLINE_MILLISECONDS) {
            if (now <= milliseconds) submitArrivals(now)
            pool.advanceTo(now)
        }
        return this
    }

    private fun submitArrivals(now: Long) {
        if (random.nextDouble() * 1_000 < LONG_PROMPTS_PER_SECOND) submit(0, PROMPT_TOKENS.random(random), 51, 51, now)
        if (random.nextDouble() * 1_000 < CHATS_PER_SECOND) {
            val tokens = min(MEDIAN_TOKENS * logNormal(LENGTH_DEVIATION), MAXIMUM_TOKENS).toInt() + 1
            submit(CHAT_RANK, 540, tokens, (tokens * logNormal(ESTIMATE_DEVIATION)).toLong(), now)
        }
    }

    private fun logNormal(sigma: Double) = exp(sigma * random.asJavaRandom().nextGaussian())

    private fun submit(rank: Int, promptTokens: Long, outputTokens: Int, estimate: Long, now: Long) {
        val request = waitingRequest(pool.nextSequence, rank, now, promptTokens = promptTokens).copy(
            deadline = now + DEADLINE_MILLISECONDS,
            patienceEndsAt = now + PATIENCE_MILLISECONDS,
            outputTokens = MAXIMUM_TOKENS.toLong(),
            estimatedTokens = estimate,
            longestPauseMilliseconds = 300L,
        )
        pool.submit(request, outputTokens)
    }

    private companion object {
        const val CHAT_RANK = 2
        const val LONG_PROMPTS_PER_SECOND = 8.0
        const val CHATS_PER_SECOND = 7.0
        const val DEADLINE_MILLISECONDS = 15_000L
        const val PATIENCE_MILLISECONDS = 2_400L
        val PROMPT_TOKENS = listOf(800L, 2_000L, 4_000L, 9_000L)
        const val MEDIAN_TOKENS = 120.0

        /** Standard deviation of the natural logarithm of the length. */
        const val LENGTH_DEVIATION = 1.5

        /** Standard deviation of the natural logarithm of the ratio of estimate to length. */
        const val ESTIMATE_DEVIATION = 0.5
        const val MAXIMUM_TOKENS = 2_610.0
    }
}
