package org.guavahatch.standins.engine

import kotlinx.coroutines.channels.Channel
import java.util.SplittableRandom

/**
 * State of one request in the engine.
 *
 * @property prompt text of the prompt
 * @property firstToken position of the first token to generate; above 0 when a stream is resumed
 */
internal class Generation(val prompt: String, maximumTokens: Int, val firstToken: Int) {
    /** Estimated number of tokens in the prompt. */
    val promptTokens = estimateTokens(prompt)

    /** Number of tokens in the complete answer, including those before [firstToken]. */
    val totalTokens = outputTokens(prompt, maximumTokens)

    /** Prefill tokens still to be computed: the prompt, and the earlier tokens of a resumed answer. */
    var remainingPrefillTokens = promptTokens + firstToken

    /** Position of the next token to generate. */
    var position = firstToken

    /** Positions of generated tokens; closed after the last one, or when a cancel request arrives. */
    val tokens = Channel<Int>(Channel.UNLIMITED)

    @Volatile
    var isCancelled = false

    /** Tokens of KV cache memory that the request reserves: the prompt and the complete answer. */
    val memoryTokens: Long get() = promptTokens.toLong() + totalTokens

    val isDone: Boolean get() = position >= totalTokens

    /**
     * Returns the text of the token at [position]. It depends only on the prompt and the position, so that any
     * engine can resume an answer that another one started.
     */
    fun textAt(position: Int): String {
        val random = SplittableRandom(prompt.hashCode().toLong() * SEED_MULTIPLIER + position)
        return WORDS[random.nextInt(WORDS.size)] + " "
    }

    /** Returns the text of the complete answer. */
    fun fullText(): String = (0 until totalTokens).joinToString("") { textAt(it) }

    internal companion object {
        private const val CHARACTERS_PER_TOKEN = 4
        private const val SEED_MULTIPLIER = 1_000_003L
        private const val MINIMUM_LENGTH_SHARE = 0.25
        private val WORDS = (
            "fleece coat small large red blue warm stock order gate water field ward turn rota clerk " +
                "season brief plan north south branch channel ledger farmer hour week grey wool lining hood sleeve"
            ).split(" ")

        /** Estimates the number of tokens in [text] at 4 characters per token. */
        fun estimateTokens(text: String): Int = maxOf(1, text.length / CHARACTERS_PER_TOKEN)

        /** Derives the answer length from the prompt: between 25 % and 100 % of [maximumTokens], at least 1. */
        private fun outputTokens(prompt: String, maximumTokens: Int): Int {
            val share = SplittableRandom(prompt.hashCode().toLong()).nextDouble(MINIMUM_LENGTH_SHARE, 1.0)
            return maxOf(1, (maximumTokens * share).toInt())
        }
    }
}
