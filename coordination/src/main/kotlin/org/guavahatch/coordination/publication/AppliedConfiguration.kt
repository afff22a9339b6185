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
 * A configuration that a process may work under.
 *
 * @property version its version
 * @property text its text, as published
 * @property set its objects
 */
public data class InForce(
    public val version: ConfigurationVersion,
    public val text: String,
    public val set: ConfigurationSet,
)

/**
 * What a process has in force. It only ever moves to higher versions, whatever arrives in whatever order, and takes
 * nothing whose text does not have the hash of its version. Safe for use by several threads.
 */
public class AppliedConfiguration {
    @Volatile
    private var current: InForce? = null

    /** What is in force, or null before the first configuration. */
    public val inForce: InForce? get() = current

    /** Version in force, or [ConfigurationVersion.NONE]. */
    public val version: ConfigurationVersion get() = current?.version ?: ConfigurationVersion.NONE

    /**
     * Applies [text] as [version] if that is higher than what is in force.
     *
     * @return whether it was applied, or why it cannot be
     */
    public fun apply(version: ConfigurationVersion, text: String): Either<DocumentError, Boolean> {
        if (version <= this.version) return false.right()
        return read(version, text).map { set -> replace(InForce(version, text, set)) }
    }

    private fun read(version: ConfigurationVersion, text: String): Either<DocumentError, ConfigurationSet> {
        val hash = ContentHash.of(text)
        if (hash != version.contentHash) {
            val problem = Problem("$", hash, "The text needs to have the hash ${version.contentHash}.")
            return DocumentError(version.toString(), listOf(problem)).left()
        }
        return text.right().flatMap { ConfigurationReader.read(version.toString(), it) }
    }

    @Synchronized
    private fun replace(next: InForce): Boolean {
        if (next.version <= version) return false
        current = next
        return true
    }
}
