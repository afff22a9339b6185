package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import kotlin.random.Random

/** Takes the endpoints in turn, whatever their load. A baseline for measurements. */
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
