package org.guavahatch.scheduling.quarantine

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet

/**
 * Prompt parts that end endpoints when they come together; requests that have all of them are not sent.
 *
 * @property parts at least one part; one that is there only because it came along whenever endpoints ended is dropped
 * when a request with it is answered
 */
public data class Quarantine(public val parts: ImmutableSet<String>) {
    init {
        require(parts.isNotEmpty()) { "A quarantine needs at least one part." }
    }

    /** Whether a request with [prompt] is in quarantine. */
    public fun matches(prompt: PromptParts): Boolean = prompt.shared.containsAll(parts)

    /** The parts in a fixed order, separated by commas. */
    override fun toString(): String = parts.sorted().joinToString(",")

    public companion object {
        /** Reads the result of [toString], or returns null if it names no parts. */
        public fun parse(text: String): Quarantine? =
            PromptParts.parse("$text,-").shared.toImmutableSet().takeIf { it.isNotEmpty() }?.let(::Quarantine)
    }
}
