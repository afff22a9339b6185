package org.guavahatch.daemon.entry

/** Estimates prompt lengths without a tokenizer. */
internal object PromptLength {
    private const val CHARACTERS_PER_TOKEN = 4

    /** Estimated tokens of [prompt]. */
    fun tokens(prompt: String): Int = prompt.length / CHARACTERS_PER_TOKEN
}
