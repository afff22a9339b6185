package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.Grant
import org.guavahatch.protocol.message.Message

/** An action that the process which embeds an [EndpointScheduler] has to perform. */
public sealed interface EndpointEffect {
    /** Send [message] on the current connection to the entry instance [entry]; drop it if there is none. */
    public data class Send(val entry: Incarnation, val message: Message) : EndpointEffect

    /** Send [message] to all entry instances. */
    public data class Broadcast(val message: Message) : EndpointEffect

    /** Call the endpoint with the call of [grant]. [deadlineMilliseconds] is monotonic time. */
    public class Execute(
        public val entry: Incarnation,
        public val grant: Grant,
        public val deadlineMilliseconds: Long,
    ) : EndpointEffect

    /**
     * Stop the running call of the request; its end is reported through [EndpointScheduler.onExecutionEnded] as usual.
     */
    public data class Stop(val requestId: RequestId, val reason: StopReason) : EndpointEffect

    /**
     * Send the frames of the request's answer on the current connection to its entry instance, starting with the first
     * that the entry instance does not have.
     */
    public data class Replay(val requestId: RequestId, val attempt: Int, val offset: Long, val hasHead: Boolean) :
        EndpointEffect

    /** Discard the answer of the request; it is not needed any more. */
    public data class Release(val requestId: RequestId) : EndpointEffect
}

/** Why a running call is stopped. */
public enum class StopReason {
    /** The entry instance cancelled the request, or has been disconnected for longer than the orphan timeout. */
    CANCELLED,

    /** A waiting request of a higher tier needs the capacity. */
    PREEMPTED,
}
