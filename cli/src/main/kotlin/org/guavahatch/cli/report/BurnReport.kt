package org.guavahatch.cli.report

import kotlinx.serialization.Serializable
import org.guavahatch.cli.load.LoadResult
import org.guavahatch.cli.load.SecondResult

/**
 * Error-budget burn rate of one group for one window length. A burn of 1 spends the error budget exactly; a higher
 * burn overspends it.
 *
 * @property windowSeconds length of the window
 * @property worst highest burn in any window of this length
 * @property last burn in the last window
 */
@Serializable
internal data class WindowBurn(val windowSeconds: Int, val worst: Double, val last: Double)

/**
 * Error-budget burn of one group of requests.
 *
 * @property name name of the tier or of the kind of request
 * @property objectivePercent service-level objective: percentage of requests that must be answered in time
 * @property sent requests sent
 * @property good requests answered in time
 * @property windows burn by window length
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

/** Error-budget burn of a load by tier and by kind of request. */
@Serializable
internal data class BurnReport(val tiers: List<GroupBurn>, val kinds: List<GroupBurn>)

/**
 * Computes error-budget burn: the share of requests that were not answered in time, divided by the share that the
 * objective allows.
 *
 * @property objectives service-level objective by tier, in percent
 * @property defaultObjective objective of groups without an entry in [objectives], in percent
 * @property windowsSeconds lengths of the windows for which burn is reported
 */
internal class BurnCalculator(
    private val objectives: Map<String, Double>,
    private val defaultObjective: Double,
    private val windowsSeconds: List<Int>,
) {
    /** Computes the burn of the load with this [result]. */
    fun report(result: LoadResult): BurnReport {
        val seconds = result.seconds.toInt() + 1
        return BurnReport(
            tiers = burnByGroup(result.timeline, seconds) { it.tier },
            kinds = burnByGroup(result.timeline, seconds) { it.kind },
        )
    }

    private fun burnByGroup(
        timeline: List<SecondResult>,
        seconds: Int,
        key: (SecondResult) -> String,
    ): List<GroupBurn> =
        timeline.groupBy(key).toSortedMap().map { (group, entries) -> groupBurn(group, entries, seconds) }

    private fun groupBurn(name: String, entries: List<SecondResult>, seconds: Int): GroupBurn {
        val objective = objectives[name] ?: defaultObjective
        val sent = IntArray(seconds)
        val good = IntArray(seconds)
        entries.forEach {
            sent[it.second] += it.sent
            good[it.second] += it.good
        }
        fun burnOf(range: IntRange): Double? {
            val total = range.sumOf { sent[it] }
            if (total == 0) return null
            val badShare = 1 - range.sumOf { good[it] }.toDouble() / total
            return badShare / (1 - objective / PERCENT)
        }
        return GroupBurn(
            name = name,
            objectivePercent = objective,
            sent = sent.sum(),
            good = good.sum(),
            windows = windowsSeconds.map { windowBurn(it, seconds, ::burnOf) },
            bySecond = (0 until seconds).map { burnOf(it..it) },
        )
    }

    private fun windowBurn(length: Int, seconds: Int, burnOf: (IntRange) -> Double?): WindowBurn {
        val size = minOf(length, seconds)
        val burns = (size..seconds).map { end -> burnOf(end - size until end) ?: 0.0 }
        return WindowBurn(length, burns.max(), burns.last())
    }

    private companion object {
        const val PERCENT = 100.0
    }
}
