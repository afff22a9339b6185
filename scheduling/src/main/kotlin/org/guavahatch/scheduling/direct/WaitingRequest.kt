package org.guavahatch.scheduling.direct

import org.guavahatch.model.identity.EndpointId

/**
 * Scheduling parameters of a request that waits for an endpoint; times are monotonic milliseconds.
 *
 * @property sequence order of arrival, unique within the gateway
 * @property rank priority of the account, 0 is the highest
 * @property routeRank priority of the route among requests of the same [rank], 0 is the highest
 * @property arrivedAt time of arrival
 * @property objectiveEndsAt latest time of the first event that meets the latency objective
 * @property deadline time at which the caller or the route gives up
 * @property patienceEndsAt time at which the caller gives up if no part of the answer has arrived, at most [deadline]
 * @property promptTokens tokens to prefill; 0 for applications
 * @property outputTokens maximum number of tokens to generate; 0 for applications
 * @property estimatedTokens the caller's estimate of the tokens to generate, or null
 * @property longestPauseMilliseconds longest pause between events that meets the objective in milliseconds, or null
 * @property firstEventMilliseconds expected time from the send to the first event
 * @property account name of the client account, or [AccountShares.NO_ACCOUNT]
 * @property units units that the quota of the account charges
 * @property transferBytes bytes of the request and expected bytes of its answer
 * @property isRepeated whether an earlier attempt of the caller was rejected; callers return once, so the request is
 * lost if it is rejected again
 */
public data class WaitingRequest(
    public val sequence: Long,
    public val rank: Int,
    public val routeRank: Int,
    public val arrivedAt: Long,
    public val objectiveEndsAt: Long,
    public val deadline: Long,
    public val patienceEndsAt: Long,
    public val promptTokens: Long,
    public val outputTokens: Long,
    public val estimatedTokens: Long? = null,
    public val longestPauseMilliseconds: Long? = null,
    public val firstEventMilliseconds: Long = 0,
    public val account: String = AccountShares.NO_ACCOUNT,
    public val units: Long = 0,
    public val transferBytes: Long = 0,
    public val isRepeated: Boolean = false,
) {
    /** Latest time of the send that meets the latency objective. */
    public val latestSendAt: Long get() = objectiveEndsAt - firstEventMilliseconds

    /** Combined priority of [rank] and [routeRank]; requests with a lower value go first, whatever their times. */
    public val order: Int get() = rank * ROUTE_RANKS + routeRank

    /** Endpoints that failed or refused the request. */
    public val avoidedEndpoints: MutableSet<EndpointId> = HashSet(0)

    /** Whether part of the answer was sent to the caller; must not change while the request is in a [WaitingQueue]. */
    public var hasAnswerBegun: Boolean = false

    private companion object {
        /** Exceeds the highest rank of a route, so that [rank] takes precedence over [routeRank]. */
        const val ROUTE_RANKS = 1_000
    }
}
