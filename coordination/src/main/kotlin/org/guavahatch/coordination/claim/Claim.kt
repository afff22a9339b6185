package org.guavahatch.coordination.claim

import kotlinx.serialization.Serializable

/**
 * Identifies a request that may be executed at most once.
 *
 * @property route name of the route
 * @property account name of the client account
 * @property idempotencyKey idempotency key that the caller sent
 */
public data class ClaimKey(public val route: String, public val account: String, public val idempotencyKey: String) {
    /** Key of the row in the table service. */
    public val rowKey: String get() = "$CLAIM_PREFIX$route/$account/$idempotencyKey"

    public companion object {
        /** Prefix of the row keys of all claims. */
        public const val CLAIM_PREFIX: String = "claims/"
    }
}

/**
 * The recorded response to the attempt that held the claim.
 *
 * @property status HTTP status
 * @property contentType value of the Content-Type header
 * @property body body as text, or null if it was too large to record
 */
@Serializable
public data class RecordedAnswer(public val status: Int, public val contentType: String, public val body: String?)

/**
 * Stored value of a claim row.
 *
 * @property attempt unique ID of the attempt
 * @property owner incarnation of the entry instance that made the claim
 * @property claimedAtMilliseconds wall clock time of the claim
 * @property answer response of the attempt, or null if none has been recorded
 */
@Serializable
public data class ClaimRow(
    public val attempt: String,
    public val owner: String,
    public val claimedAtMilliseconds: Long,
    public val answer: RecordedAnswer? = null,
)

/** Result of an attempt to claim a key. */
public sealed interface ClaimResult {
    /** This attempt holds the claim and is the only one that may be dispatched. */
    public data object Won : ClaimResult

    /** An earlier attempt has a recorded response. */
    public data class Answered(val answer: RecordedAnswer) : ClaimResult

    /** Another attempt holds the claim and has no recorded response yet. */
    public data object HeldElsewhere : ClaimResult
}
