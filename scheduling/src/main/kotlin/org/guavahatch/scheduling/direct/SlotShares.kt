package org.guavahatch.scheduling.direct

import kotlin.random.Random

/**
 * Divides the free slots of endpoints between the gateways that have waiting requests.
 *
 * Gateways learn of each other's requests with a delay, so without a division all of them would send to the same free
 * slots. Until the next reports, each gateway uses only its share, rounded at random, and the slots that its requests
 * release. The division matters at peak load, when requests wait at many gateways, and when an endpoint joins or
 * returns during a peak.
 *
 * @property random source of the random rounding
 */
public class SlotShares(private val random: Random) {
    /**
     * Limits the requests of this gateway at each of [endpoints] to its share of the slots that are free at [now].
     *
     * @param gatewaysWithWaiting number of gateways that share the free slots, including this one
     * @param silentShare share of gateways without a recent report, 0 to 1; the same share of the slots counts as used
     * by them, unless the endpoint has recently reported its number of requests
     */
    public fun divide(endpoints: Collection<EndpointState>, gatewaysWithWaiting: Int, silentShare: Double, now: Long) {
        endpoints.forEach { assign(it, gatewaysWithWaiting.toDouble(), silentShare, now) }
    }

    /** Limits the requests of this gateway at [endpoint] to one of [shares] equal shares of its free slots at [now]. */
    public fun assign(endpoint: EndpointState, shares: Double, silentShare: Double, now: Long) {
        endpoint.assumedRequests = round(endpoint.listed.slots * silentShare)
        endpoint.ownRequestLimit = endpoint.ownRequests + round(endpoint.freeSlotsAt(now) / shares)
    }

    /**
     * Milliseconds after which the free slots of [endpoints] are to be divided again: those between two reports of a
     * gateway, or the duration of an application's work if that is shorter. Slots that gateways without waiting
     * requests have released would stay free for longer otherwise, while others wait without a share.
     */
    public fun divisionMilliseconds(endpoints: Collection<EndpointState>, reportIntervalMilliseconds: Long): Long {
        val work = endpoints.mapNotNull { it.workMilliseconds }.minOrNull() ?: return reportIntervalMilliseconds
        return minOf(reportIntervalMilliseconds, maxOf(MINIMUM_DIVISION_MILLISECONDS, work.toLong()))
    }

    /** Rounds up or down at random, so that the mean of many results equals [value]. */
    private fun round(value: Double): Int = (value + random.nextDouble()).toInt()

    private companion object {
        /** Waiting requests are looked at this often, so a shorter interval changes nothing. */
        const val MINIMUM_DIVISION_MILLISECONDS = 20L
    }
}
