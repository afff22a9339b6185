package org.guavahatch.cli.bench

import kotlin.math.ln
import kotlin.random.Random

/** Makes the requests of a scenario. */
internal object BenchWorkload {
    /** Speeds of the engines, which differ. */
    val SPEEDS = listOf(0.20, 0.20, 0.25, 0.25, 0.25, 0.30, 0.30, 0.35, 0.35, 0.40, 0.40, 0.25, 0.30)

    private class Kind(
        val route: String,
        val rank: Int,
        val weight: Double,
        val promptTokens: IntRange,
        val outputTokens: IntRange,
        val maximumTokens: Int,
        val patienceMilliseconds: Double,
        val accounts: List<String>,
    )

    private val kinds = listOf(
        Kind("question", 0, 0.55, 20..60, 4..24, 32, 3000.0, listOf("tills", "tills", "shops-delta")),
        Kind("fitting", 1, 0.27, 100..500, 30..120, 160, 8000.0, listOf("fitting", "shops-upper")),
        Kind("plan", 2, 0.13, 200..800, 60..200, 256, 15_000.0, listOf("office", "shops-delta")),
        Kind("brief", 3, 0.05, 1500..4000, 400..1200, 1600, 60_000.0, listOf("shops-delta", "shops-upper")),
    )

    private const val FLOODING_ACCOUNT = "fitting"
    private const val SHARED_PREFIX_TOKENS = 1200
    private const val MILLISECONDS_PER_SECOND = 1000.0

    /** Mean time that a request takes of an engine of speed 1 that is well used. */
    private fun meanEngineMilliseconds(prefixTokens: Int): Double {
        val batch = BenchEngine.WELL_USED_SEQUENCES
        val perToken = (BenchEngine.STEP_MILLISECONDS + BenchEngine.SEQUENCE_MILLISECONDS * batch) / batch
        return kinds.sumOf { kind ->
            val prompt = (kind.promptTokens.first + kind.promptTokens.last) / 2.0 + prefixTokens / 2.0
            val output = (kind.outputTokens.first + kind.outputTokens.last) / 2.0
            kind.weight * (prompt * BenchEngine.PREFILL_MILLISECONDS + output * perToken)
        }
    }

    /** The requests of [scenario] in the order of their arrival. */
    fun requests(scenario: BenchScenario, seed: Int): List<BenchRequest> {
        val random = Random(seed)
        val prefixTokens = if (scenario.prefixGroups > 0) SHARED_PREFIX_TOKENS else 0
        val capacityPerSecond = SPEEDS.sum() * MILLISECONDS_PER_SECOND / meanEngineMilliseconds(prefixTokens)
        val regular = times(scenario, capacityPerSecond, random) { rate(scenario, it) }.map { it to draw(random) }
        val flood = times(scenario, capacityPerSecond, random) { scenario.floodShare }.map { it to kinds[1] }
        return (regular.map { Triple(it.first, it.second, false) } + flood.map { Triple(it.first, it.second, true) })
            .sortedBy { it.first }
            .mapIndexed { number, (at, kind, isFlood) -> request(number, at, kind, isFlood, scenario, random) }
    }

    private fun request(
        number: Int,
        atSeconds: Double,
        kind: Kind,
        isFlood: Boolean,
        scenario: BenchScenario,
        random: Random,
    ): BenchRequest {
        val arrival = atSeconds * MILLISECONDS_PER_SECOND
        val hasPrefix = scenario.prefixGroups > 0
        val own = random.nextInt(kind.promptTokens.first, kind.promptTokens.last)
        return BenchRequest(
            number = number,
            arrivalMilliseconds = arrival,
            rank = kind.rank,
            account = if (isFlood) FLOODING_ACCOUNT else kind.accounts.random(random),
            route = kind.route,
            promptTokens = own + if (hasPrefix) SHARED_PREFIX_TOKENS else 0,
            prefixGroup = if (hasPrefix) random.nextInt(scenario.prefixGroups) else null,
            prefixTokens = if (hasPrefix) SHARED_PREFIX_TOKENS else 0,
            outputTokens = random.nextInt(kind.outputTokens.first, kind.outputTokens.last),
            maximumTokens = kind.maximumTokens,
            deadlineMilliseconds = arrival + kind.patienceMilliseconds,
        )
    }

    private fun times(
        scenario: BenchScenario,
        capacityPerSecond: Double,
        random: Random,
        share: (Double) -> Double,
    ): List<Double> {
        val highest = capacityPerSecond * maxOf(scenario.load.maxOf { it.share }, scenario.floodShare)
        return generateSequence(0.0) { it - ln(1 - random.nextDouble()) / highest }
            .takeWhile { it < scenario.endSeconds }
            .filter { random.nextDouble() * highest < capacityPerSecond * share(it) }
            .toList()
    }

    private fun rate(scenario: BenchScenario, atSeconds: Double): Double {
        val next = scenario.load.indexOfFirst { it.atSeconds > atSeconds }.coerceAtLeast(1)
        val from = scenario.load[next - 1]
        val to = scenario.load[next]
        val part = (atSeconds - from.atSeconds) / (to.atSeconds - from.atSeconds)
        return from.share + (to.share - from.share) * part.coerceIn(0.0, 1.0)
    }

    private fun draw(random: Random): Kind {
        var left = random.nextDouble() * kinds.sumOf { it.weight }
        return kinds.first { kind ->
            left -= kind.weight
            left < 0
        }
    }
}
