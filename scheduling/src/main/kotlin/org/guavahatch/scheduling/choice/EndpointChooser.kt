package org.guavahatch.scheduling.choice

import org.guavahatch.model.identity.EndpointId
import kotlin.random.Random

/** Chooses the endpoints to which a request is offered first. */
public fun interface EndpointChooser {
    /**
     * Selects endpoints for [request] and orders them by preference.
     *
     * @param count maximum number of endpoints to return, at least 1
     * @param random source of randomness; the same seed gives the same result
     * @return at most [count] endpoints, the most preferred first; empty only if [candidates] is empty
     */
    public fun choose(
        request: RoutedRequest,
        candidates: List<Candidate>,
        count: Int,
        random: Random,
    ): List<EndpointId>
}
