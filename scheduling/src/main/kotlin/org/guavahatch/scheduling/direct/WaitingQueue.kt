package org.guavahatch.scheduling.direct

import java.util.TreeSet

/**
 * Requests of one pool that wait for room: by rank, then by the route's rank, then by the end of the latency objective.
 *
 * The load it answers: a crest at which all endpoints are full; what is less urgent waits.
 */
public class WaitingQueue {
    private val requests = TreeSet(
        compareBy<WaitingRequest>({ it.rank }, { it.routeRank }, { it.targetAt }, { it.sequence }),
    )

    /** Number of waiting requests. */
    public val size: Int get() = requests.size

    /** The request whose turn it is, or null. */
    public fun first(): WaitingRequest? = requests.firstOrNull()

    /** Adds [request]. */
    public fun add(request: WaitingRequest) {
        requests.add(request)
    }

    /** Takes [request] out; false if it was not there. */
    public fun remove(request: WaitingRequest): Boolean = requests.remove(request)
}
