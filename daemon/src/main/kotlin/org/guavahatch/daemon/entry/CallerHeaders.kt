package org.guavahatch.daemon.entry

/** Names of the HTTP headers of requests from callers and of their responses. */
internal object CallerHeaders {
    const val TIER = "guavahatch-tier"
    const val DEADLINE = "guavahatch-deadline-ms"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val REQUEST_ID = "guavahatch-request-id"
    const val CONFIGURATION = "guavahatch-configuration"
    const val OUTCOME = "guavahatch-outcome"
    const val REASON = "guavahatch-reason"

    /** Set on an answer that was recorded for an earlier request with the same idempotency key. */
    const val REPLAYED = "guavahatch-replayed"
}
