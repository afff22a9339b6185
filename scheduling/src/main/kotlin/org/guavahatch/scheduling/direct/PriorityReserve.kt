package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock

/**
 * Leaves free slots of a pool to requests of higher priority: those that wait in other gateways, and those that
 * probably arrive before the gateways learn of each other's requests again.
 *
 * Without it, requests of low priority take every slot that becomes free when a pool is overloaded, and urgent requests
 * wait in one gateway while less urgent ones are sent by others.
 *
 * @property pool name of the endpoint pool
 * @property peers reports of the other gateways
 */
public class PriorityReserve(private val pool: String, private val peers: PeerTable, clock: Clock) {
    private val arrivals = ArrivalForecast(clock)

    /** Records the arrival of a request with [order] at this gateway. */
    public fun recordArrival(order: Int): Unit = arrivals.record(order)

    /**
     * Whether a request with [order], of an account with the weighted [use] if that is known, may use one of
     * [freeSlots] free slots of a pool that has [slots].
     */
    public fun mayUse(freeSlots: Int, slots: Int, order: Int, use: Int? = null): Boolean =
        peers.waitingWithHigherPriority(pool, order) + reservedSlots(slots, order) +
            slotsForLowerUse(slots, order, use) < freeSlots

    private fun slotsForLowerUse(slots: Int, order: Int, use: Int?): Int {
        if (use == null) return 0
        val most = (slots + MAXIMUM_LOWER_USE_DIVISOR - 1) / MAXIMUM_LOWER_USE_DIVISOR
        return minOf(peers.waitingWithLowerUse(pool, order, use), most)
    }

    /**
     * Slots of [slots] to keep free for the requests with a higher priority than [order] that probably arrive at
     * [gateways] gateways before their next reports.
     */
    public fun reservedSlots(slots: Int, order: Int, gateways: Int = peers.gatewayCount): Int {
        val expected = arrivals.expectedBefore(order, peers.reportIntervalMilliseconds) * gateways
        return minOf(expected.toInt(), slots / MAXIMUM_RESERVED_DIVISOR)
    }

    private companion object {
        /** At most this part of the slots is kept free, so that a pool is used well whatever the load. */
        const val MAXIMUM_RESERVED_DIVISOR = 8

        /**
         * At most this part of the slots is left to accounts of lower use in other gateways, as the reports of their
         * requests may be old. With reports 1 s late an unbounded number left 7% of the slots idle.
         */
        const val MAXIMUM_LOWER_USE_DIVISOR = 32
    }
}
