package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.protocol.message.Message

/** An action that the process which embeds a [RequestDispatcher] has to perform. */
public sealed interface DispatchEffect {
    /** Send [message] on the current connection to [endpoint]'s sidecar. */
    public data class Send(val endpoint: EndpointId, val message: Message) : DispatchEffect

    /**
     * Send the grant of [attempt] together with the call. If the caller already has a part of the answer, the call asks
     * for the remainder.
     */
    public data class SendGrant(
        val endpoint: EndpointId,
        val sidecar: Incarnation,
        val requestId: RequestId,
        val attempt: Int,
        val remainingMilliseconds: Long,
    ) : DispatchEffect

    /** Request the part of the answer of [attempt] that has not arrived yet. */
    public data class SendAttach(val endpoint: EndpointId, val requestId: RequestId, val attempt: Int) : DispatchEffect

    /** Report [outcome] to the caller, unless it has the complete answer. Emitted once per request. */
    public data class Conclude(val requestId: RequestId, val outcome: Outcome) : DispatchEffect

    /** Start claiming the idempotency key of the request. */
    public data class Claim(val requestId: RequestId) : DispatchEffect

    /** Release the claim, because the request was not run and will not be. */
    public data class ReleaseClaim(val requestId: RequestId) : DispatchEffect

    /** Record the complete answer with the claim. */
    public data class RecordAnswer(val requestId: RequestId) : DispatchEffect

    /** Drop all state of the request; the dispatcher no longer tracks it. */
    public data class Forget(val requestId: RequestId) : DispatchEffect
}
