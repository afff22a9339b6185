package org.guavahatch.cli.bench

/**
 * Load at a time, as a share of the pool's capacity; between corners it changes evenly.
 */
internal data class LoadCorner(val atSeconds: Double, val share: Double)

/**
 * Engines that are slower for a while.
 *
 * @property engines positions of the engines
 */
internal data class Slowdown(val engines: IntRange, val fromSeconds: Double, val toSeconds: Double, val factor: Double)

/**
 * A situation that policies are compared in.
 *
 * @property name name for the table
 * @property load rate of arrivals; the last corner ends the arrivals
 * @property crestSeconds time in which the load is at its crest
 * @property slowdowns engines that are slower for a while
 * @property leavingAtSeconds when a third of the engines leave, or null
 * @property floodShare further load of one account, as a share of the capacity
 * @property prefixGroups groups of chats that share the start of their prompts; 0 for none
 */
internal data class BenchScenario(
    val name: String,
    val load: List<LoadCorner>,
    val crestSeconds: ClosedFloatingPointRange<Double>,
    val slowdowns: List<Slowdown> = emptyList(),
    val leavingAtSeconds: Double? = null,
    val floodShare: Double = 0.0,
    val prefixGroups: Int = 0,
) {
    val endSeconds: Double get() = load.last().atSeconds

    internal companion object {
        private const val END = 24.0
        private val even = listOf(LoadCorner(0.0, 0.7), LoadCorner(END, 0.7))
        private val spike = listOf(
            LoadCorner(0.0, 0.3),
            LoadCorner(5.0, 0.3),
            LoadCorner(8.0, 3.0),
            LoadCorner(12.0, 3.0),
            LoadCorner(15.0, 0.3),
            LoadCorner(END, 0.3),
        )
        private val swings = (0..5).flatMap { swing ->
            val from = 4.0 * swing
            listOf(LoadCorner(from, 0.3), LoadCorner(from + 1.5, 2.0), LoadCorner(from + 2.5, 2.0))
        } + LoadCorner(END, 0.3)

        /** All scenarios. */
        val all = listOf(
            BenchScenario("steady", even, 5.0..20.0),
            BenchScenario("spike", spike, 7.0..13.0),
            BenchScenario("swings", swings, 0.0..END),
            BenchScenario("stragglers", even, 5.0..20.0, listOf(Slowdown(0..1, 5.0, 20.0, 10.0))),
            BenchScenario("flood", even, 5.0..20.0, floodShare = 1.0),
            BenchScenario("prefixes", even, 5.0..20.0, prefixGroups = 64),
            BenchScenario("third leaves", spike, 7.0..13.0, leavingAtSeconds = 9.0),
            BenchScenario("all slow", even, 8.0..14.0, listOf(Slowdown(0..12, 8.0, 14.0, 3.0))),
        )
    }
}
