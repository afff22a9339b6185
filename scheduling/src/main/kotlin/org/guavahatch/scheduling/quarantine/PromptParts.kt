package org.guavahatch.scheduling.quarantine

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/**
 * Identifiers of the parts of a prompt, as the caller declares them.
 *
 * @property shared the parts that other requests may have too, in order, at most [MAXIMUM_SHARED_PARTS]
 * @property own the last part, which belongs to the request itself or to its session, or null if there are no parts
 */
public data class PromptParts(public val shared: ImmutableList<String>, public val own: String?) {
    /** The parts as callers write them, without their sizes. */
    override fun toString(): String = (shared + listOfNotNull(own)).joinToString(",")

    public companion object {
        /** Bounds the memory and the time that one request can take; prompts have a few shared parts. */
        public const val MAXIMUM_SHARED_PARTS: Int = 16

        /** Identifiers are short hashes; a longer one is left out. */
        private const val MAXIMUM_IDENTIFIER_LENGTH = 64

        /** The parts of a request that declares none. */
        public val NONE: PromptParts = PromptParts(persistentListOf(), null)

        /** Reads comma-separated entries of an identifier, a colon and a number of tokens. */
        public fun parse(text: String): PromptParts {
            val identifiers = text.split(',').map { it.substringBefore(':').trim().lowercase() }
                .filter { it.length in 1..MAXIMUM_IDENTIFIER_LENGTH }
            val shared = identifiers.dropLast(1).distinct().take(MAXIMUM_SHARED_PARTS)
            return PromptParts(shared.toImmutableList(), identifiers.lastOrNull())
        }
    }
}
