package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import kotlin.random.Random

/**
 * Selects two random endpoints and prefers the one whose latest digest has fewer requests; an endpoint without a digest
 * counts as idle. A baseline for benchmarks.
 */
public class TwoRandomChoicesChooser : EndpointChooser {
    override fun choose(
        request: RoutedRequest,
        candidates: List<Candidate>,
        count: Int,
        random: Random,
    ): List<EndpointId> =
        candidates.shuffled(random).take(2).sortedBy(::reportedRequests).take(count).map { it.endpoint }

    private fun reportedRequests(candidate: Candidate): Int {
        val digest = candidate.digest ?: return 0
        return digest.runningRequests + digest.queued.sumOf { it.requests }
    }
}
