package org.guavahatch.model.identity

import kotlinx.serialization.Serializable

/**
 * Identifies a single run of a process. A restarted process has a new incarnation, even if it reuses its name and
 * address.
 *
 * @property value text that is unique among all runs of all processes
 */
@Serializable
@JvmInline
public value class Incarnation(public val value: String) {
    override fun toString(): String = value
}
