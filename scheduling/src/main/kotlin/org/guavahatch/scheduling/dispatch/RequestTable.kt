package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.RequestId
import java.util.TreeMap

/** The requests tracked by an entry instance, with their deadlines and the times of their next offers. */
internal class RequestTable {
    private val byId = HashMap<RequestId, TrackedRequest>()
    private val deadlines = RequestSchedule()
    private val offerToAllTimes = RequestSchedule()
    private val waitingByRank = TreeMap<Int, LinkedHashSet<RequestId>>()

    val size: Int get() = byId.size

    val all: Collection<TrackedRequest> get() = byId.values

    /** Requests that wait for a grant, highest tier first. */
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

    fun startWaiting(request: TrackedRequest, offerToAllAtMilliseconds: Long) {
        waitingByRank.getOrPut(request.specification.rank) { LinkedHashSet() }.add(request.requestId)
        scheduleOfferToAll(request, offerToAllAtMilliseconds)
    }

    fun stopWaiting(request: TrackedRequest) {
        waitingByRank[request.specification.rank]?.remove(request.requestId)
        offerToAllTimes.cancel(request.requestId)
    }

    /** Schedules the offer of [request] to all endpoints of its pool. */
    fun scheduleOfferToAll(request: TrackedRequest, atMilliseconds: Long) =
        offerToAllTimes.set(request.requestId, atMilliseconds)

    /** The newest waiting request of the lowest tier that has any, or null if that tier is not lower than [rank]. */
    fun lastWaitingBelow(rank: Int): TrackedRequest? {
        val lowest = waitingByRank.entries.lastOrNull { it.value.isNotEmpty() } ?: return null
        return if (lowest.key > rank) byId.getValue(lowest.value.last()) else null
    }

    fun takeExpired(nowMilliseconds: Long): List<TrackedRequest> =
        deadlines.takeDue(nowMilliseconds).mapNotNull(byId::get)

    fun takeDueForOfferToAll(nowMilliseconds: Long): List<TrackedRequest> =
        offerToAllTimes.takeDue(nowMilliseconds).mapNotNull(byId::get)
}
