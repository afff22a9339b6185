package org.guavahatch.scheduling.direct

import java.util.TreeMap
import java.util.TreeSet

/**
 * Priority queue of the requests of one pool that wait for a free slot, ordered by rank and then by the route's rank.
 *
 * Among requests of equal rank, interrupted streams go first, since their callers wait for the next event. They are
 * followed by the requests that can still meet their latency objective, the most urgent first, and then by the late
 * ones. So when all endpoints are full, less urgent requests wait, and a queue longer than the objective does not make
 * every request late.
 */
public class WaitingQueue : RequestQueue {
    private val requests = TreeSet(
        compareBy<WaitingRequest>(
            { it.rank },
            { it.routeRank },
            { !it.hasAnswerBegun },
            { it.latestSendAt },
            { it.sequence },
        ),
    )

    private val sizesByOrder = TreeMap<Int, Int>()

    override val highestPriority: WaitingReport?
        get() = sizesByOrder.firstEntry()?.let { WaitingReport(it.key, it.value) }

    override val waitingOrders: Set<Int> get() = sizesByOrder.keys

    override val size: Int get() = requests.size

    override fun countOfHighestPriority(limit: Int, predicate: (WaitingRequest) -> Boolean): Int {
        val order = requests.firstOrNull()?.order ?: return 0
        return requests.asSequence().take(limit).takeWhile { it.order == order }.count(predicate)
    }

    override fun firstLate(now: Long): WaitingRequest? =
        requests.firstOrNull()?.takeIf { !it.hasAnswerBegun && it.latestSendAt < now }

    /** The request to dispatch next at [now], or null if none waits. */
    public fun next(now: Long): WaitingRequest? {
        val oldest = requests.firstOrNull() ?: return null
        if (oldest.hasAnswerBegun) return oldest
        val onTime = requests.ceiling(oldest.firstOnTimeAt(now))
        return onTime?.takeIf { hasSameRank(it, oldest) } ?: oldest
    }

    override fun candidates(now: Long): List<WaitingRequest> = buildList {
        var head = requests.firstOrNull()
        while (head != null) {
            addAll(firstOfRank(head, now))
            head = requests.higher(head.copy(objectiveEndsAt = Long.MAX_VALUE, sequence = Long.MAX_VALUE))
        }
    }

    /** The first few requests of the rank whose first entry is [head], in the order of dispatch at [now]. */
    private fun firstOfRank(head: WaitingRequest, now: Long): List<WaitingRequest> {
        val firstOnTime = head.firstOnTimeAt(now)
        val isHeadOnTime = !head.hasAnswerBegun && head.latestSendAt >= now
        val late = (if (isHeadOnTime) emptySet() else requests.subSet(head, firstOnTime)).asSequence()
        val onTime = requests.tailSet(firstOnTime, true).asSequence().takeWhile { hasSameRank(it, head) }
        val inOrder = late.takeWhile { it.hasAnswerBegun } + onTime + late.dropWhile { it.hasAnswerBegun }
        return inOrder.take(RANK_CANDIDATES).toList()
    }

    override fun inDispatchOrder(now: Long): List<WaitingRequest> = requests.groupBy { it.rank to it.routeRank }.values
        .flatMap { group ->
            group.partition { it.hasAnswerBegun || it.latestSendAt >= now }
                .toList()
                .flatten()
        }

    override fun useOf(request: WaitingRequest): Int? = null

    override fun add(request: WaitingRequest) {
        if (requests.add(request)) sizesByOrder.merge(request.order, 1, Int::plus)
    }

    override fun remove(request: WaitingRequest): Boolean {
        if (!requests.remove(request)) return false
        sizesByOrder.computeIfPresent(request.order) { _, size -> (size - 1).takeIf { it > 0 } }
        return true
    }

    /** Lower bound of the requests of the same rank that can meet their objective if they are sent at [now]. */
    private fun WaitingRequest.firstOnTimeAt(now: Long) =
        copy(objectiveEndsAt = now + firstEventMilliseconds, sequence = 0)

    private fun hasSameRank(one: WaitingRequest, other: WaitingRequest) =
        one.rank == other.rank && one.routeRank == other.routeRank

    private companion object {
        /** Lets others of a rank pass a request that finds no endpoint; few, since each is tried at every change. */
        const val RANK_CANDIDATES = 3
    }
}
