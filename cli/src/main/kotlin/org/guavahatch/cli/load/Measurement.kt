package org.guavahatch.cli.load

/** What a caller learned of its request. */
internal enum class ObservedOutcome {
    ANSWERED,
    NOT_RUN,
    UNKNOWN,

    /** The request was refused with an error of the caller's. */
    REFUSED,

    /** The connection broke before the outcome was told; as good as unknown. */
    BROKEN,
}

/**
 * One request as its caller saw it. Times are milliseconds from the planned start of the request, so that a late start
 * counts as waiting.
 *
 * @property planned the request
 * @property outcome what the caller learned
 * @property reason reason of an outcome other than answered, or empty
 * @property durationMilliseconds time to the end of the answer
 * @property firstTokenMilliseconds time to the first token, or null if there was none
 * @property tokenGapsMilliseconds times between tokens
 * @property contentHash SHA-256 of the answer's content, empty if it is not whole
 * @property requestId the system's id of the request
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
    /** Whether the request was answered, whole and before its deadline. */
    val isGood: Boolean
        get() = outcome == ObservedOutcome.ANSWERED && durationMilliseconds <= planned.kind.deadlineMilliseconds
}
