package org.guavahatch.gateway.request

import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.RequestQueue
import org.guavahatch.scheduling.direct.SlotShares
import org.guavahatch.scheduling.zone.ZoneRouting

/**
 * Decides when the free slots of a pool are divided between the gateways, and between zones if they are preferred.
 *
 * @property pool name of the pool
 * @property endpoints all endpoints of the pool
 * @property zones null if requests go to any zone
 */
internal class SlotDivision(
    private val pool: String,
    private val endpoints: Collection<EndpointState>,
    private val queue: RequestQueue,
    private val peers: PeerTable,
    private val shares: SlotShares,
    private val zones: ZoneRouting?,
) {
    private var dividedAt = 0L
    private var dividedFor = Int.MAX_VALUE

    private val highestWaitingOrder: Int get() = queue.highestPriority?.order ?: Int.MAX_VALUE

    /** Divides the slots of [added], which is not among the endpoints yet, at [now]. */
    fun onEndpointAdded(added: EndpointState, now: Long) {
        // The division between zones depends on the other endpoints.
        divide(if (zones != null) endpoints + added else listOf(added), now)
    }

    /** Divides all slots at [now] if a request of [order] is the first of its priority since the last division. */
    fun onQueued(order: Int, now: Long) {
        // Fewer gateways compete for the slots with a request of higher priority than with those that waited before.
        if (order < dividedFor) divideAll(now)
    }

    /** Divides all slots at [now] if the last division is too old. */
    fun divideIfDue(now: Long) {
        val interval = shares.divisionMilliseconds(endpoints, peers.reportIntervalMilliseconds)
        if (now - dividedAt >= interval) divideAll(now)
    }

    private fun divideAll(now: Long) {
        divide(endpoints, now)
        dividedAt = now
        dividedFor = highestWaitingOrder
    }

    private fun divide(states: Collection<EndpointState>, now: Long) {
        if (zones != null) return zones.divide(states, highestWaitingOrder, now)
        val waiting = queue.highestPriority
        val competing = peers.gatewaysWithWaiting(pool, waiting?.order ?: Int.MAX_VALUE, waiting?.lowestUse?.use)
        shares.divide(states, competing, peers.silentCount.toDouble() / peers.gatewayCount, now)
    }
}
