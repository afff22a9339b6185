package org.guavahatch.daemon.entry

/** Names of the headers that callers and entry instances exchange. */
internal object CallerHeaders {
    const val TIER = "guavahatch-tier"
    const val DEADLINE = "guavahatch-deadline-ms"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val REQUEST_ID = "guavahatch-request-id"
    const val CONFIGURATION = "guavahatch-configuration"
    const val OUTCOME = "guavahatch-outcome"
    const val REASON = "guavahatch-reason"

    /** Whether the answer is the recorded one of an earlier attempt with the same idempotency key. */
    const val REPLAYED = "guavahatch-replayed"
}
