package org.guavahatch.model.outcome

/** What became of a request, as its caller is told. There is no fourth outcome. */
public sealed interface Outcome {
    /** The outcome as it stands in the header `guavahatch-outcome`. */
    public val code: String

    /** The whole answer was received from the endpoint. */
    public data object Answered : Outcome {
        override val code: String = "answered"
    }

    /**
     * No endpoint received the request, and none will.
     *
     * @property reason why it was not run
     * @property retryAfterMilliseconds when a further attempt may have success
     */
    public data class NotRun(val reason: NotRunReason, val retryAfterMilliseconds: Long) : Outcome {
        override val code: String = "not-run"
    }

    /**
     * The request may have run.
     *
     * @property reason what prevented a certain answer
     */
    public data class Unknown(val reason: UnknownReason) : Outcome {
        override val code: String = "unknown"
    }
}
