package org.guavahatch.scheduling.rollout

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableSet
import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import kotlin.math.roundToInt

/**
 * Chooses the endpoints of the target version that get requests while the rollout runs, the same at all gateways.
 *
 * Their number is the share of the old endpoints that their requests would otherwise load, so that they are loaded like
 * these. A window of this size moves over the endpoints, since endpoints of one pool differ in speed.
 */
internal class CanarySelection(private val share: Double, private val revision: Long) {
    private var ordered: List<EndpointId> = emptyList()
    private var count = 1
    private var current: Pair<Int, ImmutableSet<EndpointId>> = NONE

    fun update(target: Collection<ListedEndpoint>, previous: Collection<ListedEndpoint>) {
        ordered = target.map { it.id }.sortedWith(compareBy({ StableHash.of("${it.value}/$revision") }, { it }))
        count = (previous.size * share).roundToInt().coerceAtLeast(1)
        current = NONE
    }

    /** Returns the canaries [elapsed] ms after the start of a rollout that is judged after [verdictAfter] ms. */
    fun canaries(elapsed: Long, verdictAfter: Long): ImmutableSet<EndpointId> {
        val first = if (count >= ordered.size) 0 else firstAt(elapsed, verdictAfter)
        if (current.first != first) current = first to windowAt(first)
        return current.second
    }

    private fun firstAt(elapsed: Long, verdictAfter: Long): Int {
        val steps = (ordered.size + count - 1) / count
        val period = (verdictAfter / (ROUNDS * steps)).coerceIn(SHORTEST_PERIOD, LONGEST_PERIOD)
        return (elapsed / period * count % ordered.size).toInt()
    }

    private fun windowAt(first: Int) =
        List(minOf(count, ordered.size)) { ordered[(first + it) % ordered.size] }.toImmutableSet()

    private companion object {
        val NONE: Pair<Int, ImmutableSet<EndpointId>> = -1 to persistentSetOf()

        /** Each endpoint is a canary at least twice before the verdict, if the shortest period allows that. */
        const val ROUNDS = 2L

        /** Shorter turns would end before a canary is loaded like an old endpoint. */
        const val SHORTEST_PERIOD = 500L
        const val LONGEST_PERIOD = 5_000L
    }
}
