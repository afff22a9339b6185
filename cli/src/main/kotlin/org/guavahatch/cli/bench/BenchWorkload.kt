package org.guavahatch.cli.bench

import kotlin.math.ln
import kotlin.random.Random

/** Generates the requests of a scenario. */
internal object BenchWorkload {
    /** Speeds of the engines of the pool, relative to an engine of speed 1. */
    val SPEEDS = listOf(0.20, 0.20, 0.25, 0.25, 0.25, 0.30, 0.30, 0.35, 0.35, 0.40, 0.40, 0.25, 0.30)

    private class RequestKind(
        val route: String,
        val rank: Int,
        val weight: Double,
        val promptTokens: IntRange,
        val outputTokens: IntRange,
        val maximumTokens: Int,
        val timeBudgetMilliseconds: Double,
        val accounts: List<String>,
    )

    private val requestKinds = listOf(
        RequestKind("question", 0, 0.55, 20..60, 4..24, 32, 3000.0, listOf("tills", "tills", "shops-delta")),
        RequestKind("fitting", 1, 0.27, 100..500, 30..120, 160, 8000.0, listOf("fitting", "shops-upper")),
        RequestKind("plan", 2, 0.13, 200..800, 60..200, 256, 15_000.0, listOf("office", "shops-delta")),
        RequestKind("brief", 3, 0.05, 1500..4000, 400..1200, 1600, 60_000.0, listOf("shops-delta", "shops-upper")),
    )

    private const val FLOODING_ACCOUNT = "fitting"
    private const val SHARED_PREFIX_TOKENS = 1200
    private const val MILLISECONDS_PER_SECOND = 1000.0

    /** Mean engine time per request of an engine of speed 1 with [BenchEngine.TARGET_SEQUENCES] requests. */
    private fun meanEngineMilliseconds(sharedPrefixTokens: Int): Double {
        val batch = BenchEngine.TARGET_SEQUENCES
        val perToken = (BenchEngine.STEP_BASE_MILLISECONDS + BenchEngine.SEQUENCE_MILLISECONDS * batch) / batch
        return requestKinds.sumOf { kind ->
            val prompt = (kind.promptTokens.first + kind.promptTokens.last) / 2.0 + sharedPrefixTokens / 2.0
            val output = (kind.outputTokens.first + kind.outputTokens.last) / 2.0
            kind.weight * (prompt * BenchEngine.PREFILL_TOKEN_MILLISECONDS + output * perToken)
        }
    }

    /** Generates the requests of [scenario] in order of arrival. The same [seed] gives the same requests. */
    fun requests(scenario: BenchScenario, seed: Int): List<BenchRequest> {
        val random = Random(seed)
        val sharedPrefixTokens = if (scenario.prefixGroups > 0) SHARED_PREFIX_TOKENS else 0
        val capacityPerSecond = SPEEDS.sum() * MILLISECONDS_PER_SECOND / meanEngineMilliseconds(sharedPrefixTokens)
        val regular = arrivalTimes(scenario, capacityPerSecond, random) { loadShareAt(scenario, it) }
            .map { it to drawKind(random) }
        val flood = arrivalTimes(scenario, capacityPerSecond, random) { scenario.floodShare }
            .map { it to requestKinds[1] }
        return (regular.map { Triple(it.first, it.second, false) } + flood.map { Triple(it.first, it.second, true) })
            .sortedBy { it.first }
            .mapIndexed { number, (atSeconds, kind, isFlood) ->
                request(number, atSeconds, kind, isFlood, scenario, random)
            }
    }

    private fun request(
        number: Int,
        atSeconds: Double,
        kind: RequestKind,
        isFlood: Boolean,
        scenario: BenchScenario,
        random: Random,
    ): BenchRequest {
        val arrival = atSeconds * MILLISECONDS_PER_SECOND
        val hasPrefix = scenario.prefixGroups > 0
        val ownTokens = random.nextInt(kind.promptTokens.first, kind.promptTokens.last)
        return BenchRequest(
            number = number,
            arrivalMilliseconds = arrival,
            rank = kind.rank,
            account = if (isFlood) FLOODING_ACCOUNT else kind.accounts.random(random),
            route = kind.route,
            promptTokens = ownTokens + if (hasPrefix) SHARED_PREFIX_TOKENS else 0,
            prefixGroup = if (hasPrefix) random.nextInt(scenario.prefixGroups) else null,
            prefixTokens = if (hasPrefix) SHARED_PREFIX_TOKENS else 0,
            outputTokens = random.nextInt(kind.outputTokens.first, kind.outputTokens.last),
            maximumTokens = kind.maximumTokens,
            deadlineMilliseconds = arrival + kind.timeBudgetMilliseconds,
        )
    }

    /**
     * Draws the arrivals of a Poisson process with a variable rate by thinning: candidates are drawn at the highest
     * rate and kept in proportion to the rate at their time.
     */
    private fun arrivalTimes(
        scenario: BenchScenario,
        capacityPerSecond: Double,
        random: Random,
        shareAt: (Double) -> Double,
    ): List<Double> {
        val highestRate = capacityPerSecond * maxOf(scenario.load.maxOf { it.capacityShare }, scenario.floodShare)
        return generateSequence(0.0) { it - ln(1 - random.nextDouble()) / highestRate }
            .takeWhile { it < scenario.endSeconds }
            .filter { random.nextDouble() * highestRate < capacityPerSecond * shareAt(it) }
            .toList()
    }

    private fun loadShareAt(scenario: BenchScenario, atSeconds: Double): Double {
        val next = scenario.load.indexOfFirst { it.atSeconds > atSeconds }.coerceAtLeast(1)
        val from = scenario.load[next - 1]
        val to = scenario.load[next]
        val fraction = (atSeconds - from.atSeconds) / (to.atSeconds - from.atSeconds)
        return from.capacityShare + (to.capacityShare - from.capacityShare) * fraction.coerceIn(0.0, 1.0)
    }

    private fun drawKind(random: Random): RequestKind {
        var remainingWeight = random.nextDouble() * requestKinds.sumOf { it.weight }
        return requestKinds.first { kind ->
            remainingWeight -= kind.weight
            remainingWeight < 0
        }
    }
}
