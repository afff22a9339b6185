package org.guavahatch.scheduling.rollout

import org.guavahatch.model.identity.EndpointId

/** How a send to an endpoint ended. */
public enum class AnswerResult {
    /** A complete and readable answer. */
    SUCCESS,

    /** An error status of the endpoint, or an unreadable answer. */
    FAILURE,

    /** The connection failed, or the endpoint was silent. */
    LOST,
}

/**
 * One answer of an endpoint of the pool. A rejection of a request that was not run is not an answer.
 *
 * @property route name of the route of the request
 * @property endpoint endpoint that the request was sent to
 * @property version version of the endpoint at the send; empty if it did not report one
 * @property result how the send ended
 * @property firstEventMilliseconds time from the send to the first event, or null if unknown
 * @property eventIntervalMilliseconds mean time between events (for applications: the time to the whole answer), or
 * null if unknown
 */
public data class RolloutAnswer(
    public val route: String,
    public val endpoint: EndpointId,
    public val version: String,
    public val result: AnswerResult,
    public val firstEventMilliseconds: Long?,
    public val eventIntervalMilliseconds: Double?,
)
