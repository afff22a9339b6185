package org.guavahatch.cli.load

import kotlin.random.Random

/** Makes prompts of given lengths. */
internal object PromptText {
    private const val CHARACTERS_PER_TOKEN = 4
    private const val LEAST_SHARE = 0.5
    private val WORDS = listOf("fleece", "water", "size", "gate", "order", "field", "brief", "rota", "shop", "channel")

    /** A prompt for [planned]: the part that its kind has in common, then a part of its own. */
    fun of(planned: PlannedRequest): String {
        val kind = planned.kind
        val shared = words(kind.sharedPromptTokens, Random(kind.name.hashCode()))
        val random = Random(planned.name.hashCode())
        val ownTokens = (kind.promptTokens * (LEAST_SHARE + random.nextDouble())).toInt()
        return "$shared ${planned.name} ${words(ownTokens, random)}"
    }

    private fun words(tokens: Int, random: Random): String {
        val text = StringBuilder()
        while (text.length < tokens * CHARACTERS_PER_TOKEN) text.append(WORDS[random.nextInt(WORDS.size)]).append(' ')
        return text.toString()
    }
}
