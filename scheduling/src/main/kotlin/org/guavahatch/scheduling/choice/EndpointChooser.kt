package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import kotlin.random.Random

/** Decides which endpoints a request is offered to first. */
public fun interface EndpointChooser {
    /**
     * Orders some of [candidates] by preference.
     *
     * @param count how many endpoints are wanted at most, at least 1
     * @param random source of chance; the same seed gives the same choice
     * @return at most [count] endpoints, the best first; empty only if there are no candidates
     */
    public fun choose(
        request: RoutedRequest,
        candidates: List<Candidate>,
        count: Int,
        random: Random,
    ): List<EndpointId>
}
