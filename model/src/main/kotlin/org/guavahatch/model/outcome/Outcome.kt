package org.guavahatch.model.outcome

/** The outcome of a request as reported to its caller. Every request has exactly one of these three outcomes. */
public sealed interface Outcome {
    /** Value of the header `guavahatch-outcome`. */
    public val code: String

    /** The complete answer was received from the endpoint. */
    public data object Answered : Outcome {
        override val code: String = "answered"
    }

    /**
     * No endpoint has received the request or will receive it.
     *
     * @property reason reason why the request was not run
     * @property retryAfterMilliseconds delay after which another attempt may succeed
     */
    public data class NotRun(val reason: NotRunReason, val retryAfterMilliseconds: Long) : Outcome {
        override val code: String = "not-run"
    }

    /**
     * The request may have run.
     *
     * @property reason reason why the outcome is unknown
     */
    public data class Unknown(val reason: UnknownReason) : Outcome {
        override val code: String = "unknown"
    }
}
