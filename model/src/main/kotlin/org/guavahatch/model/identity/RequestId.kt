package org.guavahatch.model.identity

import kotlinx.serialization.Serializable

/**
 * Identifies a caller's request for as long as any process remembers it.
 *
 * @property entry incarnation of the entry instance that accepted the request
 * @property sequence position of the request among those of that incarnation, from 1
 */
@Serializable
public data class RequestId(public val entry: Incarnation, public val sequence: Long) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = compareValuesBy(this, other, { it.entry.value }, { it.sequence })

    override fun toString(): String = "$entry-$sequence"
}
