package org.guavahatch.cli.bench

/**
 * What one policy reached in one scenario.
 *
 * @property goodByTier share of the requests of each tier that were answered whole and in time, highest tier first
 * @property weightedGood answers in time, weighted by tier
 * @property crestGood weighted answers in time among the requests that came during the crest
 * @property firstTokenP50 median time to the first token of the two highest tiers, in milliseconds
 * @property firstTokenP99 99th percentile of it
 * @property tokenGapP95 95th percentile of the time between tokens, in milliseconds
 * @property wastedPrefill share of computed prompt tokens that served no answer in time, or were computed again
 * @property smallestAccountShare smallest share of its requests that any account got in time
 * @property inversions requests that were shed while one of a lower tier was started
 */
internal data class BenchMeasures(
    val goodByTier: List<Double>,
    val weightedGood: Double,
    val crestGood: Double,
    val firstTokenP50: Double,
    val firstTokenP99: Double,
    val tokenGapP95: Double,
    val wastedPrefill: Double,
    val smallestAccountShare: Double,
    val inversions: Int,
) {
    internal companion object {
        private val WEIGHTS = listOf(8.0, 4.0, 2.0, 1.0)
        private const val TIERS_MEASURED = 2
        private const val SPREAD_MILLISECONDS = 40.0
        private const val MILLISECONDS_PER_SECOND = 1000.0

        fun of(scenario: BenchScenario, requests: List<BenchRequest>): BenchMeasures {
            val firstTokens = requests.filter { it.rank < TIERS_MEASURED }
                .mapNotNull { request -> request.firstTokenMilliseconds?.let { it - request.arrivalMilliseconds } }
            val crest = scenario.crestSeconds
            return BenchMeasures(
                goodByTier = WEIGHTS.indices.map { rank -> goodShare(requests.filter { it.rank == rank }) },
                weightedGood = weighted(requests),
                crestGood = weighted(requests.filter { it.arrivalMilliseconds / MILLISECONDS_PER_SECOND in crest }),
                firstTokenP50 = quantile(firstTokens, 0.5),
                firstTokenP99 = quantile(firstTokens, 0.99),
                tokenGapP95 = quantile(requests.flatMap { it.tokenGapsMilliseconds }.map { it.toDouble() }, 0.95),
                wastedPrefill = wasted(requests),
                smallestAccountShare = requests.groupBy { it.account }.values.minOf(::goodShare),
                inversions = inversions(requests),
            )
        }

        private fun goodShare(requests: List<BenchRequest>): Double =
            if (requests.isEmpty()) 1.0 else requests.count { it.isGood }.toDouble() / requests.size

        private fun weighted(requests: List<BenchRequest>) = requests.filter { it.isGood }.sumOf { WEIGHTS[it.rank] }

        private fun wasted(requests: List<BenchRequest>): Double {
            val all = requests.sumOf { it.prefilledTokens }
            val wasted = requests.sumOf { if (it.isGood) it.repeatedPrefillTokens else it.prefilledTokens }
            return if (all == 0L) 0.0 else wasted.toDouble() / all
        }

        /** Requests shed before they were ever started, while a lower one was started and they had long been known. */
        private fun inversions(requests: List<BenchRequest>): Int {
            val starts = WEIGHTS.indices.map { rank ->
                requests.filter { it.rank > rank }.mapNotNull { it.firstStartMilliseconds }.sorted()
            }
            return requests.count { request ->
                val shed = request.shedMilliseconds
                val isUnserved = shed != null && request.firstStartMilliseconds == null
                isUnserved && hasBetween(starts[request.rank], request.arrivalMilliseconds + SPREAD_MILLISECONDS, shed)
            }
        }

        private fun hasBetween(sorted: List<Double>, from: Double, to: Double): Boolean {
            val position = sorted.binarySearch(from).let { if (it < 0) -it - 1 else it }
            return position < sorted.size && sorted[position] <= to
        }

        private fun quantile(values: List<Double>, share: Double): Double {
            if (values.isEmpty()) return 0.0
            val sorted = values.sorted()
            return sorted[((sorted.size - 1) * share).toInt()]
        }
    }
}
