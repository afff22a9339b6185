package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation

/** Where a request stands. */
internal sealed interface Phase {
    /** No endpoint may run it. */
    data object Waiting : Phase

    /** The sidecar [sidecar] of [endpoint] may run it; [lostSince] is when the connection to it was lost. */
    data class Granted(val endpoint: EndpointId, val sidecar: Incarnation, val lostSince: Long? = null) : Phase
}

/** How far the claim of a request's idempotency key has got. */
internal enum class ClaimState {
    NOT_NEEDED,
    PENDING,
    WON,
}

/** A request that an entry instance holds. */
internal class TrackedRequest(val specification: RequestSpecification) {
    val requestId = specification.requestId
    var phase: Phase = Phase.Waiting
    var claim = if (specification.needsClaim) ClaimState.PENDING else ClaimState.NOT_NEEDED

    /** Number of the attempt that the next grant starts, or that the present one started. */
    var attempt = 1

    /** Whether some attempt was dispatched, or may have been. */
    var mayHaveRun = false

    /** Whether the caller was told an outcome. */
    var isConcluded = false
    val offeredTo = LinkedHashSet<EndpointId>()

    /** Endpoints that have a reservation for the request while its claim is pending. */
    val readyAt = LinkedHashSet<EndpointId>()

    /** Whether the request is offered to all endpoints of its pool. */
    var isWide = false
}
