package org.guavahatch.scheduling.quarantine

import org.guavahatch.model.identity.EndpointId

/**
 * One run of an endpoint; an endpoint that starts again under its id is another one.
 *
 * @property id id of the endpoint
 * @property incarnation start of the run, or null if the endpoint does not tell it
 */
public data class EndpointProcess(public val id: EndpointId, public val incarnation: Long?)
