package org.guavahatch.cli.load

import kotlin.random.Random

/** Generates prompts of a given length in tokens. */
internal object PromptText {
    private const val CHARACTERS_PER_TOKEN = 4
    private const val MINIMUM_LENGTH_FACTOR = 0.5
    private val WORDS = listOf("fleece", "water", "size", "gate", "order", "field", "brief", "rota", "shop", "channel")

    /** Returns the prompt of [planned]: the prefix of its kind, the name of the request and an individual part. */
    fun of(planned: PlannedRequest): String {
        val kind = planned.kind
        val shared = randomWords(kind.sharedPromptTokens, Random(kind.name.hashCode()))
        val random = Random(planned.name.hashCode())
        val individualTokens = (kind.promptTokens * (MINIMUM_LENGTH_FACTOR + random.nextDouble())).toInt()
        return "$shared ${planned.name} ${randomWords(individualTokens, random)}"
    }

    private fun randomWords(tokens: Int, random: Random): String {
        val text = StringBuilder()
        while (text.length < tokens * CHARACTERS_PER_TOKEN) text.append(WORDS[random.nextInt(WORDS.size)]).append(' ')
        return text.toString()
    }
}
