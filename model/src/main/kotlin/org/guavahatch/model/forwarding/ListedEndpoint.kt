package org.guavahatch.model.forwarding

import org.guavahatch.model.identity.EndpointId

/**
 * An endpoint as it describes itself.
 *
 * @property id identity of the endpoint
 * @property incarnation start of the process behind the id, or null if it does not tell
 * @property pool name of its pool
 * @property address IP address and port
 * @property zone its availability zone
 * @property slots requests that it runs at once
 * @property isLeaving whether it takes no new work
 */
public data class ListedEndpoint(
    public val id: EndpointId,
    public val incarnation: Long?,
    public val pool: String,
    public val address: String,
    public val zone: String,
    public val slots: Int,
    public val isLeaving: Boolean,
)
