package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import kotlin.random.Random

/**
 * Prefers the endpoints at which the request would be complete soonest: work of the same and higher tiers that is there
 * or was sent there since the digest, and the request's own cost less what is cached, over the endpoint's measured
 * speed. Only a sample is compared, so that entry instances with equally old digests do not all pick the same endpoint.
 *
 * @property sampleSize endpoints that are compared, default 6
 * @property unknownCostPerSecond speed that an endpoint without digest is taken to have, default 100
 */
public class ExpectedCompletionChooser(
    private val sampleSize: Int = DEFAULT_SAMPLE_SIZE,
    private val unknownCostPerSecond: Double = DEFAULT_UNKNOWN_COST_PER_SECOND,
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

    /** Seconds until [request] would be complete at [candidate]. */
    public fun expectedSeconds(request: RoutedRequest, candidate: Candidate): Double {
        val digest = candidate.digest
        val ahead = digest?.queued?.filter { it.rank <= request.rank }?.sumOf { it.cost } ?: 0.0
        val own = request.cost - request.promptCost * candidate.cachedPromptShare
        val work = (digest?.runningCost ?: 0.0) + ahead + candidate.costSinceDigest + own
        val speed = digest?.costPerSecond ?: unknownCostPerSecond
        return work / maxOf(speed, MINIMUM_COST_PER_SECOND)
    }

    private companion object {
        const val DEFAULT_SAMPLE_SIZE = 6
        const val DEFAULT_UNKNOWN_COST_PER_SECOND = 100.0
        const val MINIMUM_COST_PER_SECOND = 0.001
    }
}
