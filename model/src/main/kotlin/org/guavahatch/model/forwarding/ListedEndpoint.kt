package org.guavahatch.model.forwarding

import org.guavahatch.model.identity.EndpointId

/**
 * An endpoint as described by its own registration.
 *
 * @property id identifier of the endpoint
 * @property incarnation number that identifies the current run of the endpoint process, or null if not reported
 * @property pool name of its endpoint pool
 * @property address IP address and port
 * @property zone its availability zone
 * @property slots maximum number of requests that it runs concurrently
 * @property isLeaving whether it is shutting down and accepts no new requests
 * @property version version of its software, or null if not reported
 */
public data class ListedEndpoint(
    public val id: EndpointId,
    public val incarnation: Long?,
    public val pool: String,
    public val address: String,
    public val zone: String,
    public val slots: Int,
    public val isLeaving: Boolean,
    public val version: String? = null,
)
