package org.guavahatch.scheduling.direct

import kotlin.math.roundToInt

/**
 * Load of endpoints that peers have reported.
 *
 * Reports are up to 130 ms old, and most requests of an application with shorter work have ended by then. Counted in
 * full they make its endpoints look full after each burst, while requests wait. A reported request of an application
 * therefore counts less with the age of the report, and not at all after the duration of its work.
 */
public class PeerLoads(private val peers: PeerTable) {
    /** Sets the load of peers at each of [endpoints] from the latest reports. */
    public fun apply(endpoints: Collection<EndpointState>) {
        val reports = peers.freshReportAges()
        endpoints.forEach { endpoint ->
            val id = endpoint.listed.id.value
            val loads = reports.mapNotNull { (report, age) -> report.load[id]?.let { it to age } }
            endpoint.peerPrefillTokens = loads.sumOf { (load, _) -> load.prefillTokens }
            endpoint.peerTokens = loads.sumOf { (load, _) -> load.tokens }
            endpoint.peerRequests = requests(loads, endpoint.workMilliseconds)
        }
    }

    private fun requests(loads: List<Pair<EndpointLoad, Long>>, workMilliseconds: Double?): Int {
        if (workMilliseconds == null) return loads.sumOf { (load, _) -> load.requests }
        return loads.sumOf { (load, age) -> load.requests * maxOf(0.0, 1 - age / (2 * workMilliseconds)) }.roundToInt()
    }
}
