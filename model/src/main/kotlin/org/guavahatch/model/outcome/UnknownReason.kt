package org.guavahatch.model.outcome

/**
 * The reason why the outcome of a request is unknown.
 *
 * @property code name of the reason in responses and records
 */
public enum class UnknownReason(public val code: String) {
    /** The deadline passed after the request had been granted to an endpoint. */
    DEADLINE("deadline"),

    /** The sidecar that held the grant restarted or could no longer be reached. */
    SIDECAR_LOST("sidecar-lost"),

    /** The endpoint's answer was incomplete, belonged to another request, or was never received. */
    ENDPOINT_FAILED("endpoint-failed"),

    /** Another attempt with the same idempotency key has claimed the request and has no outcome yet. */
    CLAIMED_ELSEWHERE("claimed-elsewhere"),

    /** The entry instance stopped before the answer was complete. */
    ENTRY_STOPPED("entry-stopped"),
}
