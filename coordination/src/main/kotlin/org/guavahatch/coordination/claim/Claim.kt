package org.guavahatch.coordination.claim

import kotlinx.serialization.Serializable

/**
 * Names the work that may be done once.
 *
 * @property route name of the route
 * @property account name of the client account
 * @property idempotencyKey the caller's key
 */
public data class ClaimKey(public val route: String, public val account: String, public val idempotencyKey: String) {
    /** Key of the row in the table service. */
    public val rowKey: String get() = "$CLAIM_PREFIX$route/$account/$idempotencyKey"

    public companion object {
        /** Start of the keys of all claims. */
        public const val CLAIM_PREFIX: String = "claims/"
    }
}

/**
 * The answer to the attempt that had the claim.
 *
 * @property status HTTP status
 * @property contentType content type
 * @property body body as text, or null if it was too large to be recorded
 */
@Serializable
public data class RecordedAnswer(public val status: Int, public val contentType: String, public val body: String?)

/**
 * Row of a claim.
 *
 * @property attempt text that no other attempt has
 * @property owner incarnation of the entry instance that made the claim
 * @property claimedAtMilliseconds wall clock time of the claim
 * @property answer the outcome, or null while there is none
 */
@Serializable
public data class ClaimRow(
    public val attempt: String,
    public val owner: String,
    public val claimedAtMilliseconds: Long,
    public val answer: RecordedAnswer? = null,
)

/** What came of an attempt to claim. */
public sealed interface ClaimResult {
    /** This attempt alone may be dispatched. */
    public data object Won : ClaimResult

    /** An earlier attempt was answered. */
    public data class Answered(val answer: RecordedAnswer) : ClaimResult

    /** An earlier attempt has the claim and no outcome yet. */
    public data object HeldElsewhere : ClaimResult
}
