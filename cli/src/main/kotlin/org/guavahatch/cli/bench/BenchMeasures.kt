package org.guavahatch.cli.bench

/**
 * Results of one policy in one scenario. A request is good if its complete answer arrives by its deadline.
 *
 * @property goodByTier share of good requests by tier, highest tier first
 * @property weightedGood number of good requests, weighted by tier
 * @property crestGood weighted number of good requests that arrived during the load peak
 * @property firstTokenP50 median time to first token in the two highest tiers, in milliseconds
 * @property firstTokenP99 99th percentile of the time to first token in the two highest tiers, in milliseconds
 * @property tokenGapP95 95th percentile of the time between tokens, in milliseconds
 * @property wastedPrefill share of prefilled tokens that belong to requests that were not good or that were prefilled
 * again
 * @property smallestAccountShare lowest share of good requests of any account
 * @property inversions priority inversions: requests that were shed before they started, although a request of a lower
 * tier was started while they waited
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
        /** Weight of a good request by the rank of its tier. */
        private val WEIGHTS = listOf(8.0, 4.0, 2.0, 1.0)

        /** Number of tiers, from the highest, whose time to first token is reported. */
        private const val LATENCY_TIERS = 2

        /** Time after the arrival of a request in which starts of lower tiers do not count as inversions. */
        private const val INVERSION_GRACE_MILLISECONDS = 40.0
        private const val MILLISECONDS_PER_SECOND = 1000.0

        /** Computes the results of [scenario] from its [requests] at the end of a run. */
        fun of(scenario: BenchScenario, requests: List<BenchRequest>): BenchMeasures {
            val firstTokens = requests.filter { it.rank < LATENCY_TIERS }
                .mapNotNull { request -> request.firstTokenMilliseconds?.let { it - request.arrivalMilliseconds } }
            val peak = scenario.peakSeconds
            return BenchMeasures(
                goodByTier = WEIGHTS.indices.map { rank -> goodShare(requests.filter { it.rank == rank }) },
                weightedGood = weightedGoodput(requests),
                crestGood = weightedGoodput(
                    requests.filter { it.arrivalMilliseconds / MILLISECONDS_PER_SECOND in peak },
                ),
                firstTokenP50 = quantile(firstTokens, 0.5),
                firstTokenP99 = quantile(firstTokens, 0.99),
                tokenGapP95 = quantile(requests.flatMap { it.tokenGapsMilliseconds }.map { it.toDouble() }, 0.95),
                wastedPrefill = wastedPrefillShare(requests),
                smallestAccountShare = requests.groupBy { it.account }.values.minOf(::goodShare),
                inversions = countInversions(requests),
            )
        }

        private fun goodShare(requests: List<BenchRequest>): Double =
            if (requests.isEmpty()) 1.0 else requests.count { it.isGood }.toDouble() / requests.size

        private fun weightedGoodput(requests: List<BenchRequest>) =
            requests.filter { it.isGood }.sumOf { WEIGHTS[it.rank] }

        private fun wastedPrefillShare(requests: List<BenchRequest>): Double {
            val total = requests.sumOf { it.prefilledTokens }
            val wasted = requests.sumOf { if (it.isGood) it.repeatedPrefillTokens else it.prefilledTokens }
            return if (total == 0L) 0.0 else wasted.toDouble() / total
        }

        /**
         * Counts requests that were shed without a start, although a request of a lower tier was started between
         * [INVERSION_GRACE_MILLISECONDS] after their arrival and their shedding.
         */
        private fun countInversions(requests: List<BenchRequest>): Int {
            val starts = WEIGHTS.indices.map { rank ->
                requests.filter { it.rank > rank }.mapNotNull { it.firstStartMilliseconds }.sorted()
            }
            return requests.count { request ->
                val shed = request.shedMilliseconds
                val isUnserved = shed != null && request.firstStartMilliseconds == null
                val fromMilliseconds = request.arrivalMilliseconds + INVERSION_GRACE_MILLISECONDS
                isUnserved && hasValueBetween(starts[request.rank], fromMilliseconds, shed)
            }
        }

        private fun hasValueBetween(sorted: List<Double>, from: Double, to: Double): Boolean {
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
