package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import kotlin.random.Random

/** Chooses the endpoints in rotation, regardless of their load. A baseline for benchmarks. */
public class RoundRobinChooser : EndpointChooser {
    private var next = 0

    override fun choose(
        request: RoutedRequest,
        candidates: List<Candidate>,
        count: Int,
        random: Random,
    ): List<EndpointId> {
        if (candidates.isEmpty()) return emptyList()
        val start = next++ % candidates.size
        return List(minOf(count, candidates.size)) { candidates[(start + it) % candidates.size].endpoint }
    }
}
