package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.protocol.message.Digest

/**
 * An endpoint to which a request can be offered, and its load as the entry instance knows it.
 *
 * @property endpoint identifier of the endpoint
 * @property digest latest digest from its sidecar, or null if none was received yet
 * @property outstandingRequests requests granted to it by this entry instance that have not ended
 * @property costSinceDigest cost granted to it by this entry instance since [digest] was sent
 * @property cachedPromptShare estimated share of the request's prompt in the cache of the endpoint, 0 to 1
 * @property isLocalZone whether the endpoint is in the availability zone of the entry instance
 */
public data class Candidate(
    public val endpoint: EndpointId,
    public val digest: Digest?,
    public val outstandingRequests: Int,
    public val costSinceDigest: Double,
    public val cachedPromptShare: Double,
    public val isLocalZone: Boolean,
)
