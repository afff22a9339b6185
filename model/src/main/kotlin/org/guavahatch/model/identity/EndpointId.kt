package org.guavahatch.model.identity

import kotlinx.serialization.Serializable

/**
 * Name of an endpoint. Its sidecar uses the same name.
 *
 * @property value the name, unique within a deployment
 */
@Serializable
@JvmInline
public value class EndpointId(public val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
