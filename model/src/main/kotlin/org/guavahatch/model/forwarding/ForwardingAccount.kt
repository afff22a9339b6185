package org.guavahatch.model.forwarding

import kotlinx.collections.immutable.ImmutableSet

/**
 * A client account.
 *
 * @property name unique name
 * @property keys secrets that identify callers of the account
 * @property rank priority that replaces that of the route, or null
 * @property quota limit of its use over all gateways, or null
 */
public data class ForwardingAccount(
    public val name: String,
    public val keys: ImmutableSet<String>,
    public val rank: Int? = null,
    public val quota: AccountQuota? = null,
)

/**
 * Limit of an account's use.
 *
 * @property unitsPerSecond sustained rate
 * @property burstUnits units that may be used at once after a pause
 * @property countsTokens whether units are tokens; otherwise each request counts as one
 * @property plainRequestUnits tokens that a request without a token count is charged
 */
public data class AccountQuota(
    public val unitsPerSecond: Double,
    public val burstUnits: Double,
    public val countsTokens: Boolean,
    public val plainRequestUnits: Long,
) {
    /** Units of a request with [tokens] tokens, or null if it does not tell. */
    public fun unitsOf(tokens: Long?): Long = if (countsTokens) tokens ?: plainRequestUnits else 1
}
