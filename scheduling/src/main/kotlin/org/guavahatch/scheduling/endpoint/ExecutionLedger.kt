package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId

/**
 * Records which requests were dispatched to the endpoint. Ended requests are removed after the retention time. For each
 * entry instance the ledger keeps the highest sequence number removed, so that it never denies a dispatch that took
 * place: up to that number the answer for a request without an entry is "not known".
 *
 * @property retentionMilliseconds how long an ended request is kept
 */
internal class ExecutionLedger(private val retentionMilliseconds: Long) {
    private data class Ended(val requestId: RequestId, val atMilliseconds: Long)

    private val latestAttempts = HashMap<RequestId, Int>()
    private val ended = ArrayDeque<Ended>()
    private val highestRemovedSequences = HashMap<Incarnation, Long>()

    val size: Int get() = latestAttempts.size

    /** Records a dispatch. Returns false if this attempt or a later one was already dispatched. */
    fun recordDispatch(requestId: RequestId, attempt: Int): Boolean {
        if ((latestAttempts[requestId] ?: 0) >= attempt) return false
        latestAttempts[requestId] = attempt
        return true
    }

    fun recordEnd(requestId: RequestId, nowMilliseconds: Long) {
        ended.addLast(Ended(requestId, nowMilliseconds))
    }

    /** Whether [attempt] of the request was dispatched, or null if the ledger no longer knows. */
    fun wasDispatched(requestId: RequestId, attempt: Int): Boolean? {
        val latest = latestAttempts[requestId]
        if (latest != null) return latest >= attempt
        val highestRemoved = highestRemovedSequences[requestId.entry] ?: 0
        return if (requestId.sequence <= highestRemoved) null else false
    }

    /** Removes requests that ended at least the retention time ago, except those for which [isRunning] holds again. */
    fun prune(nowMilliseconds: Long, isRunning: (RequestId) -> Boolean) {
        while (ended.isNotEmpty() && ended.first().atMilliseconds + retentionMilliseconds <= nowMilliseconds) {
            val requestId = ended.removeFirst().requestId
            if (isRunning(requestId)) continue
            latestAttempts.remove(requestId)
            highestRemovedSequences.merge(requestId.entry, requestId.sequence, ::maxOf)
        }
    }
}
