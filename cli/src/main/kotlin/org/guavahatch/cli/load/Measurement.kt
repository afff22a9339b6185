package org.guavahatch.cli.load

/** The outcome of a request as its caller observed it. */
internal enum class ObservedOutcome {
    ANSWERED,
    NOT_RUN,
    UNKNOWN,

    /** The request was rejected with an error status. */
    REFUSED,

    /** The connection failed or the response was invalid before an outcome was reported; counted as unknown. */
    BROKEN,
}

/**
 * Measurement of one request by its caller. Times are measured from the planned start of the request, so that a delayed
 * start counts as waiting time.
 *
 * @property planned the request as planned
 * @property outcome outcome that the caller observed
 * @property reason reason for an outcome other than answered, or empty
 * @property durationMilliseconds time to the end of the answer
 * @property firstTokenMilliseconds time to the first token, or null if there was none
 * @property tokenGapsMilliseconds times between consecutive tokens
 * @property contentHash SHA-256 of the content of the answer, empty if the answer is incomplete
 * @property requestId id that the system assigned to the request, or empty
 */
internal class Measurement(
    val planned: PlannedRequest,
    val outcome: ObservedOutcome,
    val reason: String,
    val durationMilliseconds: Double,
    val firstTokenMilliseconds: Double?,
    val tokenGapsMilliseconds: List<Double>,
    val contentHash: String,
    val requestId: String,
) {
    /** Whether the request got a complete answer before its deadline. */
    val isAnsweredInTime: Boolean
        get() = outcome == ObservedOutcome.ANSWERED && durationMilliseconds <= planned.kind.deadlineMilliseconds
}
