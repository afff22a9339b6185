package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.protocol.message.Message

/** What the process around a [RequestDispatcher] has to do. */
public sealed interface DispatchEffect {
    /** Send [message] on the current connection to [endpoint]'s sidecar. */
    public data class Send(val endpoint: EndpointId, val message: Message) : DispatchEffect

    /**
     * Send the grant of [attempt], with the call. If the caller already has a part of the answer, the call continues
     * from there.
     */
    public data class SendGrant(
        val endpoint: EndpointId,
        val sidecar: Incarnation,
        val requestId: RequestId,
        val attempt: Int,
        val remainingMilliseconds: Long,
    ) : DispatchEffect

    /** Ask for the rest of the answer of [attempt]. */
    public data class SendAttach(val endpoint: EndpointId, val requestId: RequestId, val attempt: Int) : DispatchEffect

    /** Tell the caller that its request ends with [outcome], unless it has the whole answer. Comes once a request. */
    public data class Conclude(val requestId: RequestId, val outcome: Outcome) : DispatchEffect

    /** Begin to claim the request's idempotency key. */
    public data class Claim(val requestId: RequestId) : DispatchEffect

    /** The request was not run and never will be: give the claim back. */
    public data class ReleaseClaim(val requestId: RequestId) : DispatchEffect

    /** The whole answer is there: record it with the claim. */
    public data class RecordAnswer(val requestId: RequestId) : DispatchEffect

    /** Nothing refers to the request any more. */
    public data class Forget(val requestId: RequestId) : DispatchEffect
}
