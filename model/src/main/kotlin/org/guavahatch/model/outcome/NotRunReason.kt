package org.guavahatch.model.outcome

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The reason why a request was not run. Every decision not to run a request has exactly one of these reasons.
 *
 * @property code name of the reason in responses and records
 */
@Serializable
public enum class NotRunReason(public val code: String) {
    /** While the request waited, its deadline passed or could no longer be met. */
    @SerialName("deadline")
    DEADLINE("deadline"),

    /** No endpoint of the pool could be reached before the deadline. */
    @SerialName("no-endpoint")
    NO_ENDPOINT("no-endpoint"),

    /** The client account has reached its limit of requests in flight. */
    @SerialName("account-limit")
    ACCOUNT_LIMIT("account-limit"),

    /** The entry instance has reached its limit of held requests. */
    @SerialName("entry-full")
    ENTRY_FULL("entry-full"),

    /** The claim of the idempotency key could not be written before the deadline. */
    @SerialName("claim-unavailable")
    CLAIM_UNAVAILABLE("claim-unavailable"),

    /** The caller disconnected before the request was granted to an endpoint. */
    @SerialName("caller-gone")
    CALLER_GONE("caller-gone"),
}
