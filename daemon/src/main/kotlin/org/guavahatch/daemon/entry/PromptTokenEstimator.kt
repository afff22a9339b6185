package org.guavahatch.daemon.entry

/** Estimates the number of tokens of a prompt from its length, without a tokenizer. */
internal object PromptTokenEstimator {
    private const val CHARACTERS_PER_TOKEN = 4

    /** Returns the estimated number of tokens of [prompt]. */
    fun estimate(prompt: String): Int = prompt.length / CHARACTERS_PER_TOKEN
}
