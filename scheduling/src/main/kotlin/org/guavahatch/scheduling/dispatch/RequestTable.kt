package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.RequestId
import java.util.TreeMap

/** The requests that an entry instance holds, with the times at which something is due for them. */
internal class RequestTable {
    private val byId = HashMap<RequestId, TrackedRequest>()
    private val deadlines = RequestSchedule()
    private val widenings = RequestSchedule()
    private val waitingByRank = TreeMap<Int, LinkedHashSet<RequestId>>()

    val size: Int get() = byId.size

    val all: Collection<TrackedRequest> get() = byId.values

    /** Requests that no endpoint may run, highest tier first. */
    val waiting: List<TrackedRequest> get() = waitingByRank.values.flatten().map(byId::getValue)

    operator fun get(requestId: RequestId): TrackedRequest? = byId[requestId]

    fun add(request: TrackedRequest) {
        byId[request.requestId] = request
        setDeadline(request, request.specification.deadlineMilliseconds)
    }

    fun remove(request: TrackedRequest) {
        stopWaiting(request)
        deadlines.cancel(request.requestId)
        byId.remove(request.requestId)
    }

    fun setDeadline(request: TrackedRequest, atMilliseconds: Long) = deadlines.set(request.requestId, atMilliseconds)

    fun startWaiting(request: TrackedRequest, widenAtMilliseconds: Long) {
        waitingByRank.getOrPut(request.specification.rank) { LinkedHashSet() }.add(request.requestId)
        setWidening(request, widenAtMilliseconds)
    }

    fun stopWaiting(request: TrackedRequest) {
        waitingByRank[request.specification.rank]?.remove(request.requestId)
        widenings.cancel(request.requestId)
    }

    /** Sets when [request] is to be offered to all endpoints of its pool. */
    fun setWidening(request: TrackedRequest, atMilliseconds: Long) = widenings.set(request.requestId, atMilliseconds)

    /** The request that was last of the lowest tier to wait, if that tier is lower than [rank]. */
    fun lastBelow(rank: Int): TrackedRequest? {
        val lowest = waitingByRank.entries.lastOrNull { it.value.isNotEmpty() } ?: return null
        return if (lowest.key > rank) byId.getValue(lowest.value.last()) else null
    }

    fun takeExpired(nowMilliseconds: Long): List<TrackedRequest> =
        deadlines.takeDue(nowMilliseconds).mapNotNull(byId::get)

    fun takeWidened(nowMilliseconds: Long): List<TrackedRequest> =
        widenings.takeDue(nowMilliseconds).mapNotNull(byId::get)
}
