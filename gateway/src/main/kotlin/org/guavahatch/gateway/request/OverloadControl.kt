package org.guavahatch.gateway.request

import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.PoolReturns
import org.guavahatch.scheduling.direct.QueueForecast
import org.guavahatch.scheduling.direct.RequestQueue
import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * Decides which waiting requests of a pool cannot be served in time, and when rejected callers should return.
 *
 * @property returns plan of the returns, or null without planned returns
 */
internal class OverloadControl(
    private val pool: String,
    private val peers: PeerTable,
    private val forecast: QueueForecast,
    private val returns: PoolReturns?,
) {
    /**
     * Whether [request] can be served in time, with [ahead] others before it, [aheadOfOrder] of which have its order.
     */
    fun canServeInTime(request: WaitingRequest, ahead: Int, aheadOfOrder: Int, now: Long): Boolean =
        returns?.canServeInTime(request, forecast, ahead, aheadOfOrder, now)
            ?: forecast.canDispatchInTime(request, ahead, now)

    /** Retry-After advice for [request], rejected with [ahead] others before it in a pool with [slots]. */
    fun retryAfter(request: WaitingRequest, ahead: Int, slots: Int, now: Long): Long =
        plannedReturn(request, ahead, slots) ?: retryAfterWait(request, forecast.expectedWait(ahead, now), now)

    /** Milliseconds after which the caller of [request] should return, or null without planned returns. */
    fun plannedReturn(request: WaitingRequest, ahead: Int, slots: Int): Long? = returns?.run {
        val atPeers = peers.waitingWithHigherPriority(pool, request.order + 1)
        retryAfter(request, slots, ahead + atPeers, peers.gatewayCount)
    }

    /** Retry-After advice after [wait] ms; callers follow it for up to a third of their remaining time. */
    fun retryAfterWait(request: WaitingRequest, wait: Long, now: Long): Long {
        val longest = (request.deadline - now) / RETRY_AFTER_DIVISOR
        return wait.coerceIn(minOf(MINIMUM_RETRY_AFTER_MILLISECONDS, longest), maxOf(longest, 0))
    }

    /** Notes that a request of this gateway has left the pool, while those in [queue] may be held back for peers. */
    fun noteRelease(queue: RequestQueue) {
        returns?.run { orderHeldBack(queue)?.let(turns::recordRelease) }
    }

    /** Notes whether the requests in [queue] are held back for peers at [now] in a pool with [slots]. */
    fun noteHeldBack(queue: RequestQueue, slots: Int, now: Long) {
        returns?.run {
            orderHeldBack(queue)?.let { turns.recordHeldBack(it, now, longestHold(slots, peers.gatewayCount)) }
        }
    }

    /** The highest order that waits here while requests of higher ones wait in other gateways, or null. */
    private fun orderHeldBack(queue: RequestQueue): Int? =
        queue.highestPriority?.order?.takeIf { peers.waitingWithHigherPriority(pool, it) > 0 }

    companion object {
        /** Approximate time in which a full pool frees capacity. */
        const val MINIMUM_RETRY_AFTER_MILLISECONDS = 200L
        private const val RETRY_AFTER_DIVISOR = 3
    }
}
