package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import kotlin.random.Random

/**
 * Prefers the endpoints with the earliest expected completion of the request.
 *
 * The expected time is the work divided by the measured speed of the endpoint. The work consists of the running
 * requests, the queued requests of the same and higher tiers, the cost granted since the digest, and the cost of the
 * request itself without the cached part of its prompt. Only a random sample of the endpoints and the one with the
 * largest cached part are compared, so that entry instances with equally old digests do not all choose the same
 * endpoint.
 *
 * @property sampleSize number of endpoints in the sample, default 6
 * @property assumedCostPerSecond speed assumed for an endpoint without a measured speed, default 100
 */
public class ExpectedCompletionChooser(
    private val sampleSize: Int = DEFAULT_SAMPLE_SIZE,
    private val assumedCostPerSecond: Double = DEFAULT_ASSUMED_COST_PER_SECOND,
) : EndpointChooser {
    override fun choose(
        request: RoutedRequest,
        candidates: List<Candidate>,
        count: Int,
        random: Random,
    ): List<EndpointId> {
        val sample = sample(candidates, maxOf(sampleSize, count), random)
        return sample.sortedBy { expectedSeconds(request, it) }.take(count).map { it.endpoint }
    }

    private fun sample(candidates: List<Candidate>, size: Int, random: Random): List<Candidate> {
        val shuffled = candidates.shuffled(random)
        if (shuffled.size <= size) return shuffled
        val cached = candidates.filter { it.cachedPromptShare > 0 }.maxByOrNull { it.cachedPromptShare }
        return (shuffled.take(size) + listOfNotNull(cached)).distinct()
    }

    /** Expected seconds until [request] completes at [candidate]. */
    public fun expectedSeconds(request: RoutedRequest, candidate: Candidate): Double {
        val digest = candidate.digest
        val queuedCost = digest?.queued?.filter { it.rank <= request.rank }?.sumOf { it.cost } ?: 0.0
        val ownCost = request.cost - request.promptCost * candidate.cachedPromptShare
        val totalCost = (digest?.runningCost ?: 0.0) + queuedCost + candidate.costSinceDigest + ownCost
        val speed = digest?.costPerSecond ?: assumedCostPerSecond
        return totalCost / maxOf(speed, MINIMUM_COST_PER_SECOND)
    }

    private companion object {
        const val DEFAULT_SAMPLE_SIZE = 6
        const val DEFAULT_ASSUMED_COST_PER_SECOND = 100.0
        const val MINIMUM_COST_PER_SECOND = 0.001
    }
}
