package org.guavahatch.coordination.publication

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.guavahatch.model.check.DocumentError
import org.guavahatch.model.check.Problem
import org.guavahatch.model.configuration.ConfigurationReader
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.configuration.ContentHash

/**
 * A configuration that has been applied.
 *
 * @property version version of the configuration
 * @property text text as published
 * @property set objects parsed from [text]
 */
public data class ActiveConfiguration(
    public val version: ConfigurationVersion,
    public val text: String,
    public val set: ConfigurationSet,
)

/**
 * The configuration that a process currently uses. The version only increases, regardless of the order in which
 * configurations arrive, and a text whose hash differs from the hash in its version is rejected. Thread-safe.
 */
public class AppliedConfiguration {
    @Volatile
    private var current: ActiveConfiguration? = null

    /** The configuration in use, or null before the first one has been applied. */
    public val active: ActiveConfiguration? get() = current

    /** Version of the configuration in use, or [ConfigurationVersion.NONE]. */
    public val version: ConfigurationVersion get() = current?.version ?: ConfigurationVersion.NONE

    /**
     * Applies [text] as [version] if [version] is higher than the current one.
     *
     * @return whether the text was applied, or an error if its hash differs or it is not valid
     */
    public fun apply(version: ConfigurationVersion, text: String): Either<DocumentError, Boolean> {
        if (version <= this.version) return false.right()
        return read(version, text).map { set -> replace(ActiveConfiguration(version, text, set)) }
    }

    private fun read(version: ConfigurationVersion, text: String): Either<DocumentError, ConfigurationSet> {
        val hash = ContentHash.of(text)
        if (hash != version.contentHash) {
            val problem = Problem("$", hash, "The hash of the text must be ${version.contentHash}.")
            return DocumentError(version.toString(), listOf(problem)).left()
        }
        return text.right().flatMap { ConfigurationReader.read(version.toString(), it) }
    }

    @Synchronized
    private fun replace(next: ActiveConfiguration): Boolean {
        if (next.version <= version) return false
        current = next
        return true
    }
}
