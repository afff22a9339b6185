package org.guavahatch.model.outcome

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Why a request was not run. The list is closed: every decision not to run a request has one of these reasons.
 *
 * @property code the reason as callers and records see it
 */
@Serializable
public enum class NotRunReason(public val code: String) {
    /** The deadline passed, or could not be met any more, while the request waited. */
    @SerialName("deadline")
    DEADLINE("deadline"),

    /** No endpoint of the pool could be reached until the deadline. */
    @SerialName("no-endpoint")
    NO_ENDPOINT("no-endpoint"),

    /** The account has as many requests in flight as it may have. */
    @SerialName("account-limit")
    ACCOUNT_LIMIT("account-limit"),

    /** The entry instance waits on as many requests as it may hold. */
    @SerialName("entry-full")
    ENTRY_FULL("entry-full"),

    /** The claim of the idempotency key could not be written before the deadline. */
    @SerialName("claim-unavailable")
    CLAIM_UNAVAILABLE("claim-unavailable"),

    /** The caller went away before the request was granted to an endpoint. */
    @SerialName("caller-gone")
    CALLER_GONE("caller-gone"),
}
