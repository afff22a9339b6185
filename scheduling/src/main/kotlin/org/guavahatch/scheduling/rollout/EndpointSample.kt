package org.guavahatch.scheduling.rollout

import org.guavahatch.model.identity.EndpointId

/**
 * Assigns endpoints to buckets, so that the gateways can tell from sums whether all endpoints of a side were observed
 * or only some, which may be the fast ones.
 */
public object EndpointSample {
    /** Number of buckets. */
    public const val COUNT: Int = 32

    /** Returns the bucket of [endpoint]; the same at all gateways. */
    public fun indexOf(endpoint: EndpointId): Int = Math.floorMod(StableHash.of(endpoint.value), COUNT.toLong()).toInt()
}
