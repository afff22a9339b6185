package org.guavahatch.standins.engine

import kotlinx.coroutines.channels.Channel
import java.util.SplittableRandom

/** One request inside the engine. */
internal class Generation(val prompt: String, maximumTokens: Int, val firstToken: Int) {
    val promptTokens = tokensOf(prompt)

    /** Tokens of the whole answer, those before [firstToken] included. */
    val totalTokens = outputTokens(prompt, maximumTokens)

    /** Prompt tokens, and tokens of a continued answer, that still have to be computed. */
    var prefillLeft = promptTokens + firstToken

    /** Position of the next token. */
    var position = firstToken

    /** Positions of tokens as they are generated; closed after the last one. */
    val tokens = Channel<Int>(Channel.UNLIMITED)

    @Volatile
    var isCancelled = false

    val memoryTokens: Long get() = promptTokens.toLong() + totalTokens

    val isDone: Boolean get() = position >= totalTokens

    /** The text of the token at [position]. It depends on the prompt only, so any engine continues any answer. */
    fun textAt(position: Int): String {
        val random = SplittableRandom(prompt.hashCode().toLong() * SEED_FACTOR + position)
        return WORDS[random.nextInt(WORDS.size)] + " "
    }

    /** The whole answer. */
    fun wholeText(): String = (0 until totalTokens).joinToString("") { textAt(it) }

    internal companion object {
        private const val CHARACTERS_PER_TOKEN = 4
        private const val SEED_FACTOR = 1_000_003L
        private const val SHORTEST_SHARE = 0.25
        private val WORDS = (
            "fleece coat small large red blue warm stock order gate water field ward turn rota clerk " +
                "season brief plan north south branch channel ledger farmer hour week grey wool lining hood sleeve"
            ).split(" ")

        fun tokensOf(text: String): Int = maxOf(1, text.length / CHARACTERS_PER_TOKEN)

        private fun outputTokens(prompt: String, maximumTokens: Int): Int {
            val share = SplittableRandom(prompt.hashCode().toLong()).nextDouble(SHORTEST_SHARE, 1.0)
            return maxOf(1, (maximumTokens * share).toInt())
        }
    }
}
