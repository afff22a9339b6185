package org.guavahatch.scheduling.zone

import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.WaitingReport

/**
 * Gateways of each zone and their waiting requests for one pool, from the latest reports.
 *
 * A gateway that reports no zone counts as being in every zone, and so does one whose zone has no endpoint of the pool,
 * since its requests have no other place to go. Zones whose gateways are all silent have no gateways.
 *
 * @param servedZones zones with endpoints of the pool
 */
internal class ZoneDemand(pool: String, private val zone: String, peers: PeerTable, servedZones: Set<String>) {
    private val homelessSilent = peers.silentZones.map { it.takeIf(servedZones::contains).orEmpty() }
    private val gateways = peers.freshReports().map { report ->
        Gateway(report.zone.takeIf(servedZones::contains).orEmpty(), report.waiting[pool])
    }
    private val waiting = gateways.filter { it.waiting != null }
    private val highestOrders = HashMap<String, Int>()

    /** Number of gateways of [zone] with a recent report, and this one if it is of that zone. */
    fun gateways(zone: String): Int = gateways.count { it.isIn(zone) } + if (zone == this.zone) 1 else 0

    /** Share of the gateways of [zone] that are silent, 0 to 1. */
    fun silentShare(zone: String): Double {
        val silent = silent(zone)
        return silent.toDouble() / maxOf(1, silent + gateways(zone))
    }

    /** Number of gateways other than this one, silent ones included, that have or may have requests in [zone]. */
    fun competing(zone: String, order: Int): Int = waitingGateways(zone, order) + silent(zone)

    /** Number of gateways outside [zone], this one included, that may want its spare slots for [order]. */
    fun competingOutside(zone: String, order: Int): Int = waiting.count { !it.isIn(zone) && it.isWaiting(order) } + 1

    /**
     * Whether a gateway of [zone] reports requests of the same or a higher priority than [order] for which its zone has
     * no slot.
     */
    fun lacksSlots(zone: String, order: Int): Boolean = order >= highestOrders.getOrPut(zone) {
        waiting.filter { it.isIn(zone) && it.lacksSlot }.minOfOrNull { checkNotNull(it.waiting).order } ?: Int.MAX_VALUE
    }

    /** Number of gateways of [zone] that report waiting requests of the same or a higher priority than [order]. */
    fun waitingGateways(zone: String, order: Int): Int = waiting.count { it.isIn(zone) && it.isWaiting(order) }

    /**
     * Number of requests with a higher priority than [order] that need slots of this gateway's zone: those that wait in
     * the zone, and those of other zones that may leave these.
     */
    fun waitingBefore(order: Int): Int = waiting.sumOf { gateway ->
        val report = gateway.waiting?.takeIf { it.order < order }
        if (gateway.isIn(zone)) report?.requests ?: 0 else report?.leaving ?: 0
    }

    private fun silent(zone: String) = homelessSilent.count { it == zone || it.isEmpty() }

    private class Gateway(private val zone: String, val waiting: WaitingReport?) {
        fun isIn(other: String) = zone == other || zone.isEmpty() || other.isEmpty()

        val lacksSlot: Boolean get() = waiting != null && waiting.requests > 0

        fun isWaiting(order: Int) = waiting != null && waiting.order <= order
    }
}
