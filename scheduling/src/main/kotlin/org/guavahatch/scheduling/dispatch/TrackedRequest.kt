package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation

/** Whether a request waits for a grant or has one. */
internal sealed interface RequestPhase {
    /** No endpoint has a grant for the request. */
    data object Waiting : RequestPhase

    /**
     * The incarnation [sidecar] of the sidecar of [endpoint] may run the request; [connectionLostAtMilliseconds] is
     * when the connection to it was lost, or null while it is connected.
     */
    data class Granted(
        val endpoint: EndpointId,
        val sidecar: Incarnation,
        val connectionLostAtMilliseconds: Long? = null,
    ) : RequestPhase
}

/** State of the claim of a request's idempotency key. */
internal enum class ClaimState {
    NOT_NEEDED,
    PENDING,
    WON,
}

/** A request with its dispatch state, as tracked by an entry instance. */
internal class TrackedRequest(val specification: RequestSpecification) {
    val requestId = specification.requestId
    var phase: RequestPhase = RequestPhase.Waiting
    var claimState = if (specification.needsClaim) ClaimState.PENDING else ClaimState.NOT_NEEDED

    /** Number of the current attempt, or of the one that the next grant starts. */
    var attempt = 1

    /** Whether any attempt was dispatched or may have been. */
    var mayHaveRun = false

    /** Whether an outcome was reported to the caller. */
    var isConcluded = false
    val offeredTo = LinkedHashSet<EndpointId>()

    /** Endpoints that hold a reservation for the request while its claim is pending. */
    val readyEndpoints = LinkedHashSet<EndpointId>()

    /** Whether the request has been offered to all endpoints of its pool. */
    var isOfferedToAll = false
}
