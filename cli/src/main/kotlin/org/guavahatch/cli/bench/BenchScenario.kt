package org.guavahatch.cli.bench

/** Point of a load curve, as a share of the pool's capacity. The load is interpolated linearly between points. */
internal data class LoadPoint(val atSeconds: Double, val capacityShare: Double)

/**
 * Temporary slowdown of some engines.
 *
 * @property engines indices of the engines
 * @property factor factor by which their steps take longer
 */
internal data class Slowdown(val engines: IntRange, val fromSeconds: Double, val toSeconds: Double, val factor: Double)

/**
 * Load and engine faults under which policies are compared.
 *
 * @property name name in the result table
 * @property load arrival rate; arrivals end at the last point
 * @property peakSeconds interval of the peak load
 * @property slowdowns temporary slowdowns of engines
 * @property leavingAtSeconds time at which a third of the engines leave the pool, or null
 * @property floodShare additional load of one account, as a share of the capacity
 * @property prefixGroups number of groups of requests with the same prompt prefix; 0 for no shared prefixes
 */
internal data class BenchScenario(
    val name: String,
    val load: List<LoadPoint>,
    val peakSeconds: ClosedFloatingPointRange<Double>,
    val slowdowns: List<Slowdown> = emptyList(),
    val leavingAtSeconds: Double? = null,
    val floodShare: Double = 0.0,
    val prefixGroups: Int = 0,
) {
    /** Time of the last arrivals. */
    val endSeconds: Double get() = load.last().atSeconds

    internal companion object {
        private const val END_SECONDS = 24.0
        private val steadyLoad = listOf(LoadPoint(0.0, 0.7), LoadPoint(END_SECONDS, 0.7))
        private val spikeLoad = listOf(
            LoadPoint(0.0, 0.3),
            LoadPoint(5.0, 0.3),
            LoadPoint(8.0, 3.0),
            LoadPoint(12.0, 3.0),
            LoadPoint(15.0, 0.3),
            LoadPoint(END_SECONDS, 0.3),
        )
        private val oscillatingLoad = (0..5).flatMap { swing ->
            val from = 4.0 * swing
            listOf(LoadPoint(from, 0.3), LoadPoint(from + 1.5, 2.0), LoadPoint(from + 2.5, 2.0))
        } + LoadPoint(END_SECONDS, 0.3)

        /** All scenarios. */
        val all = listOf(
            BenchScenario("steady", steadyLoad, 5.0..20.0),
            BenchScenario("spike", spikeLoad, 7.0..13.0),
            BenchScenario("swings", oscillatingLoad, 0.0..END_SECONDS),
            BenchScenario("stragglers", steadyLoad, 5.0..20.0, listOf(Slowdown(0..1, 5.0, 20.0, 10.0))),
            BenchScenario("flood", steadyLoad, 5.0..20.0, floodShare = 1.0),
            BenchScenario("prefixes", steadyLoad, 5.0..20.0, prefixGroups = 64),
            BenchScenario("third leaves", spikeLoad, 7.0..13.0, leavingAtSeconds = 9.0),
            BenchScenario("all slow", steadyLoad, 8.0..14.0, listOf(Slowdown(0..12, 8.0, 14.0, 3.0))),
        )
    }
}
