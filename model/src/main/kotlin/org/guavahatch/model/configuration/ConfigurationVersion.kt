package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * Identifies an accepted configuration. Every accepted publication increments the number by one. No process applies a
 * lower number after a higher one.
 *
 * @property number version number; 1 for the first accepted configuration, 0 if there is no configuration
 * @property contentHash SHA-256 of the published text, as hexadecimal digits; empty if there is no configuration
 */
@Serializable
public data class ConfigurationVersion(public val number: Long, public val contentHash: String) :
    Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = number.compareTo(other.number)

    override fun toString(): String = "$number/${contentHash.take(SHORT_HASH_LENGTH)}"

    public companion object {
        private const val SHORT_HASH_LENGTH = 12

        /** The version in a process that has not yet received a configuration. */
        public val NONE: ConfigurationVersion = ConfigurationVersion(0, "")
    }
}
