package org.guavahatch.cli.report

import kotlinx.serialization.Serializable
import org.guavahatch.cli.load.LoadResult
import org.guavahatch.cli.load.SecondResult

/**
 * Burn of one group's error budget in one window: 1 spends the budget exactly, above 1 spends more than it.
 *
 * @property windowSeconds length of the window
 * @property worst highest burn of any window of that length
 * @property last burn of the last window
 */
@Serializable
internal data class WindowBurn(val windowSeconds: Int, val worst: Double, val last: Double)

/**
 * Burn of one group.
 *
 * @property name tier or kind of request
 * @property objectivePercent share of requests that are to be answered in time
 * @property sent requests
 * @property good requests answered in time
 * @property windows burn by window
 * @property bySecond burn of each second, null for seconds without requests
 */
@Serializable
internal data class GroupBurn(
    val name: String,
    val objectivePercent: Double,
    val sent: Int,
    val good: Int,
    val windows: List<WindowBurn>,
    val bySecond: List<Double?>,
)

/** Service-level burn of a load. */
@Serializable
internal data class BurnReport(val tiers: List<GroupBurn>, val kinds: List<GroupBurn>)

/**
 * Works out service-level burn: the share of requests that were not answered in time, over the share that the objective
 * allows.
 *
 * @property objectives objective by tier in percent
 * @property defaultObjective objective of groups without one
 */
internal class BurnCalculator(
    private val objectives: Map<String, Double>,
    private val defaultObjective: Double,
    private val windowsSeconds: List<Int>,
) {
    fun report(result: LoadResult): BurnReport {
        val seconds = result.seconds.toInt() + 1
        return BurnReport(
            tiers = groups(result.timeline, seconds) { it.tier },
            kinds = groups(result.timeline, seconds) { it.kind },
        )
    }

    private fun groups(timeline: List<SecondResult>, seconds: Int, name: (SecondResult) -> String): List<GroupBurn> =
        timeline.groupBy(name).toSortedMap().map { (group, entries) -> burn(group, entries, seconds) }

    private fun burn(name: String, entries: List<SecondResult>, seconds: Int): GroupBurn {
        val objective = objectives[name] ?: defaultObjective
        val sent = IntArray(seconds)
        val good = IntArray(seconds)
        entries.forEach {
            sent[it.second] += it.sent
            good[it.second] += it.good
        }
        fun burnOf(range: IntRange): Double? {
            val all = range.sumOf { sent[it] }
            if (all == 0) return null
            val bad = 1 - range.sumOf { good[it] }.toDouble() / all
            return bad / (1 - objective / PERCENT)
        }
        return GroupBurn(
            name = name,
            objectivePercent = objective,
            sent = sent.sum(),
            good = good.sum(),
            windows = windowsSeconds.map { window(it, seconds, ::burnOf) },
            bySecond = (0 until seconds).map { burnOf(it..it) },
        )
    }

    private fun window(length: Int, seconds: Int, burnOf: (IntRange) -> Double?): WindowBurn {
        val size = minOf(length, seconds)
        val burns = (size..seconds).map { end -> burnOf(end - size until end) ?: 0.0 }
        return WindowBurn(length, burns.max(), burns.last())
    }

    private companion object {
        const val PERCENT = 100.0
    }
}
