package org.guavahatch.model.identity

import kotlinx.serialization.Serializable

/**
 * One run of one process. A restarted process has a new incarnation, also when it reuses name and address.
 *
 * @property value text that no other run of any process has
 */
@Serializable
@JvmInline
public value class Incarnation(public val value: String) {
    override fun toString(): String = value
}
