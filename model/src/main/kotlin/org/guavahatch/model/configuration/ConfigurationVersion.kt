package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * Names one accepted configuration. Numbers rise by one with every accepted publication; nobody applies a lower number
 * after a higher one.
 *
 * @property number 1 for the first accepted configuration; 0 stands for none
 * @property contentHash SHA-256 of the published text, in hexadecimal digits; empty for none
 */
@Serializable
public data class ConfigurationVersion(public val number: Long, public val contentHash: String) :
    Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = number.compareTo(other.number)

    override fun toString(): String = "$number/${contentHash.take(SHORT_HASH_LENGTH)}"

    public companion object {
        private const val SHORT_HASH_LENGTH = 12

        /** The version of a process that has no configuration yet. */
        public val NONE: ConfigurationVersion = ConfigurationVersion(0, "")
    }
}
