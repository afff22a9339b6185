package org.guavahatch.scheduling.direct

import org.guavahatch.model.identity.EndpointId

/**
 * What a decision needs to know of a request that waits for an endpoint.
 *
 * @property sequence order of arrival, unique within the gateway
 * @property rank priority, 0 is the highest
 * @property routeRank priority of the route, where [rank] is that of the account
 * @property arrivedAt monotonic time of its arrival
 * @property targetAt monotonic time at which its latency objective ends
 * @property deadline monotonic time at which its caller or route gives up
 * @property abandonAt monotonic time at which the caller leaves if nothing of the answer has come, at most [deadline]
 * @property promptTokens tokens to prefill; 0 for applications
 * @property outputTokens most tokens to generate; 0 for applications
 * @property estimatedTokens the caller's estimate of the tokens to generate, or null
 * @property longestPause objective of the pause between events in milliseconds, or null
 */
public data class WaitingRequest(
    public val sequence: Long,
    public val rank: Int,
    public val routeRank: Int,
    public val arrivedAt: Long,
    public val targetAt: Long,
    public val deadline: Long,
    public val abandonAt: Long,
    public val promptTokens: Long,
    public val outputTokens: Long,
    public val estimatedTokens: Long? = null,
    public val longestPause: Long? = null,
) {
    /** Its place among ranks: requests with a smaller one go first, whatever their times. */
    public val order: Int get() = rank * ROUTE_RANKS + routeRank

    /** Endpoints that failed or refused it. */
    public val avoided: MutableSet<EndpointId> = HashSet(0)

    /** Whether a part of its answer went to the caller; changed only while it does not wait. */
    public var hasBegun: Boolean = false

    private companion object {
        /** More than routes have ranks. */
        const val ROUTE_RANKS = 1_000
    }
}
