package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import kotlin.random.Random

/** Prefers the endpoints with the fewest outstanding requests of this entry instance. A baseline for benchmarks. */
public class LeastOutstandingChooser : EndpointChooser {
    override fun choose(
        request: RoutedRequest,
        candidates: List<Candidate>,
        count: Int,
        random: Random,
    ): List<EndpointId> =
        candidates.shuffled(random).sortedBy { it.outstandingRequests }.take(count).map { it.endpoint }
}
