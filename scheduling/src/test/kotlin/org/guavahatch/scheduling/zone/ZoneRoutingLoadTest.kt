package org.guavahatch.scheduling.zone

import org.junit.jupiter.api.Tag
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Load on three zones with the same endpoints, with the part off and on. */
class ZoneRoutingLoadTest {
    /**
     * @property maximumLeft largest share of the sends that may leave their zone, from 2,000 ms to 4,000 ms
     * @property maximumLeftAfter the same from 5,000 ms on, when a peak is over
     * @property tolerance by how much less than without the part may be on time in any zone
     */
    private class Expectation(
        val case: ZoneCase,
        val maximumLeft: Double,
        val maximumLeftAfter: Double = maximumLeft,
        val tolerance: Double = 0.03,
        val seeds: Int = 3,
    )

    private fun peakInA(zone: String, now: Long, peak: Double) =
        if (zone == "a" && now in ZoneCase.START..ZoneCase.PEAK_END) peak else 0.5

    private fun expectations(gateways: Int, endpoints: Int, seeds: Int) = listOf(
        Expectation(case("even load", gateways, endpoints) { _, _ -> 0.6 }, maximumLeft = 0.02, seeds = seeds),
        // The excess is 0.6 of the 2.6 zones' capacity that is asked for.
        Expectation(
            case("a peak in one zone", gateways, endpoints) { zone, now -> peakInA(zone, now, peak = 1.6) },
            maximumLeft = 0.3,
            maximumLeftAfter = 0.02,
            seeds = seeds,
        ),
        Expectation(
            case("a zone that lost its endpoints", gateways, endpoints, lostZone = "a") { _, _ -> 0.5 },
            maximumLeft = 0.4,
            seeds = seeds,
        ),
        Expectation(
            case("a zone whose gateways are silent", gateways, endpoints, silentZone = "a") { _, _ -> 0.6 },
            maximumLeft = 0.02,
            seeds = seeds,
        ),
    )

    private fun case(
        name: String,
        gateways: Int,
        endpoints: Int,
        lostZone: String? = null,
        silentZone: String? = null,
        load: (String, Long) -> Double,
    ) = ZoneCase(
        "$name, $gateways gateways",
        gateways,
        endpoints,
        service = 600,
        lostZone = lostZone,
        silentZone = silentZone,
        load = load,
    )

    // Guards against requests that leave their zone without need, or wait at home beyond their objective.
    @Test
    fun `only what a zone cannot serve in time leaves it, and no zone is served later for it`() =
        expectations(gateways = 23, endpoints = 8, seeds = 3).let(::check)

    // Guards against a division that depends on few gateways.
    @Test
    fun `callers of a zone without endpoints are served by the others at 300 gateways`() =
        check(atManyGateways.filter { it.case.lostZone != null })

    // Guards against the same at other loads.
    @Test
    @Tag("known-red")
    fun `only what a zone cannot serve in time leaves it at 300 gateways`() =
        check(atManyGateways.filter { it.case.lostZone == null })

    private val atManyGateways = expectations(gateways = 300, endpoints = 40, seeds = 1)

    // Guards against callers who wait for a zone with few slots while other zones have many.
    @Test
    fun `short work with one endpoint in each zone is not served later`() = check(
        listOf(
            Expectation(
                ZoneCase("one endpoint", 23, endpointsPerZone = 1, service = 60, target = 300) { _, _ -> 0.2 },
                maximumLeft = 0.05,
            ),
        ),
    )

    private fun check(expectations: List<Expectation>) =
        assertEquals(emptyList(), expectations.flatMap(::violations), "violations")

    private fun violations(expected: Expectation): List<String> = List(expected.seeds) { seed ->
        val off = ZoneSimulation(expected.case, isZoneAware = false, Random(seed)).simulate()
        val on = ZoneSimulation(expected.case, isZoneAware = true, Random(seed)).simulate()
        val isLate = ZoneCase.ZONES.any { on.onTimeShare(it) < off.onTimeShare(it) - expected.tolerance }
        val hasLeft =
            on.leftShare(2_000, 4_000) > expected.maximumLeft || on.leftShare(5_000) > expected.maximumLeftAfter
        val summary = "${expected.case.name}, seed $seed: off: ${off.summary()}; on: ${on.summary()}"
        println(summary)
        summary.takeIf { isLate || hasLeft }
    }.filterNotNull()

    private fun ZoneSimulation.summary() = "left %.3f, then %.3f, on time %s".format(
        leftShare(2_000, 4_000),
        leftShare(5_000),
        ZoneCase.ZONES.joinToString(" ") { "%.3f".format(onTimeShare(it)) },
    )
}
