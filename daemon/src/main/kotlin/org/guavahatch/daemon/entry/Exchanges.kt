package org.guavahatch.daemon.entry

import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.scheduling.dispatch.DeliveryStatus
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The requests that an entry instance is processing. */
internal class Exchanges(private val incarnation: Incarnation) : DeliveryStatus {
    private val byId = ConcurrentHashMap<RequestId, Exchange>()
    private val lastSequence = AtomicLong()

    val size: Int get() = byId.size

    operator fun get(requestId: RequestId): Exchange? = byId[requestId]

    /** Creates an exchange with a new request id. */
    fun open(request: ValidatedRequest, nowMilliseconds: Long): Exchange {
        val requestId = RequestId(incarnation, lastSequence.incrementAndGet())
        return Exchange(requestId, request, nowMilliseconds).also { byId[requestId] = it }
    }

    fun close(requestId: RequestId) {
        byId.remove(requestId)
    }

    override fun hasDelivered(requestId: RequestId): Boolean = byId[requestId]?.hasDelivered ?: true
}
