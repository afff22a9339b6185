package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.protocol.message.Digest

/**
 * An endpoint that a request could be offered to, with what the entry instance knows of it.
 *
 * @property endpoint the endpoint
 * @property digest last digest of its sidecar, or null if none came yet
 * @property outstandingRequests requests that this entry instance has granted to it and that have not ended
 * @property costSinceDigest cost that this entry instance has granted to it since the digest was sent
 * @property cachedPromptShare share of the request's prompt that the endpoint has probably cached, 0 to 1
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
