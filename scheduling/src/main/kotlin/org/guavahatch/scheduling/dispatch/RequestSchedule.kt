package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.RequestId
import java.util.TreeSet

/** Schedules at most one point in time per request, ordered by time. */
internal class RequestSchedule {
    private data class Due(val atMilliseconds: Long, val requestId: RequestId)

    private val dueByTime = TreeSet(compareBy<Due> { it.atMilliseconds }.thenBy { it.requestId })
    private val times = HashMap<RequestId, Long>()

    /** Schedules [requestId] at [atMilliseconds], replacing any earlier time. */
    fun set(requestId: RequestId, atMilliseconds: Long) {
        cancel(requestId)
        times[requestId] = atMilliseconds
        dueByTime.add(Due(atMilliseconds, requestId))
    }

    fun cancel(requestId: RequestId) {
        val time = times.remove(requestId) ?: return
        dueByTime.remove(Due(time, requestId))
    }

    /** Removes and returns all requests that are due, earliest first. */
    fun takeDue(nowMilliseconds: Long): List<RequestId> {
        val due = dueByTime.takeWhile { it.atMilliseconds <= nowMilliseconds }
        due.forEach { cancel(it.requestId) }
        return due.map { it.requestId }
    }
}
