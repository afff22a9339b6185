package org.guavahatch.model.outcome

/**
 * Why it is not known whether a request has run.
 *
 * @property code the reason as callers and records see it
 */
public enum class UnknownReason(public val code: String) {
    /** The deadline passed after the request had been granted to an endpoint. */
    DEADLINE("deadline"),

    /** The sidecar that held the grant restarted or could not be reached again. */
    SIDECAR_LOST("sidecar-lost"),

    /** The endpoint's answer was cut, belonged to another request, or never came. */
    ENDPOINT_FAILED("endpoint-failed"),

    /** Another attempt with the same idempotency key has claimed the request and has no outcome yet. */
    CLAIMED_ELSEWHERE("claimed-elsewhere"),

    /** The entry instance had to stop before the answer was complete. */
    ENTRY_STOPPED("entry-stopped"),
}
