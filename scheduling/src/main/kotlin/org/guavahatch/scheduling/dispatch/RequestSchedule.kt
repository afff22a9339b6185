package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.RequestId
import java.util.TreeSet

/** Requests ordered by a time at which something is due. */
internal class RequestSchedule {
    private data class Due(val atMilliseconds: Long, val requestId: RequestId)

    private val order = TreeSet(compareBy<Due> { it.atMilliseconds }.thenBy { it.requestId })
    private val times = HashMap<RequestId, Long>()

    /** Sets or replaces the time of [requestId]. */
    fun set(requestId: RequestId, atMilliseconds: Long) {
        cancel(requestId)
        times[requestId] = atMilliseconds
        order.add(Due(atMilliseconds, requestId))
    }

    fun cancel(requestId: RequestId) {
        val time = times.remove(requestId) ?: return
        order.remove(Due(time, requestId))
    }

    /** Takes out and returns all requests that are due. */
    fun takeDue(nowMilliseconds: Long): List<RequestId> {
        val due = order.takeWhile { it.atMilliseconds <= nowMilliseconds }
        due.forEach { cancel(it.requestId) }
        return due.map { it.requestId }
    }
}
