package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId

/**
 * Remembers which requests were dispatched to the endpoint. Ended requests are forgotten after a while; for those the
 * ledger keeps, for each entry instance, the highest sequence it has forgotten, so that it never denies a dispatch that
 * took place.
 *
 * @property rememberMilliseconds how long an ended request is remembered
 */
internal class ExecutionLedger(private val rememberMilliseconds: Long) {
    private data class Ended(val requestId: RequestId, val atMilliseconds: Long)

    private val attempts = HashMap<RequestId, Int>()
    private val ended = ArrayDeque<Ended>()
    private val forgottenUpTo = HashMap<Incarnation, Long>()

    val size: Int get() = attempts.size

    /** Notes a dispatch. False if this attempt, or a later one, was dispatched already. */
    fun begin(requestId: RequestId, attempt: Int): Boolean {
        if ((attempts[requestId] ?: 0) >= attempt) return false
        attempts[requestId] = attempt
        return true
    }

    fun end(requestId: RequestId, nowMilliseconds: Long) {
        ended.addLast(Ended(requestId, nowMilliseconds))
    }

    /** Whether [attempt] of the request was dispatched: null if it cannot be told any more. */
    fun wasDispatched(requestId: RequestId, attempt: Int): Boolean? {
        val known = attempts[requestId]
        if (known != null) return known >= attempt
        val horizon = forgottenUpTo[requestId.entry] ?: 0
        return if (requestId.sequence <= horizon) null else false
    }

    /** Forgets requests that ended long enough ago, unless [isRunning] again. */
    fun prune(nowMilliseconds: Long, isRunning: (RequestId) -> Boolean) {
        while (ended.isNotEmpty() && ended.first().atMilliseconds + rememberMilliseconds <= nowMilliseconds) {
            val requestId = ended.removeFirst().requestId
            if (isRunning(requestId)) continue
            attempts.remove(requestId)
            forgottenUpTo.merge(requestId.entry, requestId.sequence, ::maxOf)
        }
    }
}
