package org.guavahatch.model.identity

import kotlinx.serialization.Serializable

/**
 * Identifies a caller's request for as long as any process keeps state for it.
 *
 * @property entry incarnation of the entry instance that accepted the request
 * @property sequence sequence number of the request within that incarnation, starting at 1
 */
@Serializable
public data class RequestId(public val entry: Incarnation, public val sequence: Long) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = compareValuesBy(this, other, { it.entry.value }, { it.sequence })

    override fun toString(): String = "$entry-$sequence"
}
