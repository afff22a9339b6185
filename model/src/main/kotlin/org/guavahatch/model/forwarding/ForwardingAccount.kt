package org.guavahatch.model.forwarding

import kotlinx.collections.immutable.ImmutableSet

/**
 * A client account as gateways use it.
 *
 * @property name unique name
 * @property keys secret keys that callers of the account authenticate with
 * @property rank priority that overrides the priority of the route, or null
 * @property quota rate limit of the account across all gateways, or null
 */
public data class ForwardingAccount(
    public val name: String,
    public val keys: ImmutableSet<String>,
    public val rank: Int? = null,
    public val quota: AccountQuota? = null,
)

/**
 * A token-bucket rate limit for an account.
 *
 * @property unitsPerSecond sustained rate in units per second
 * @property burstUnits maximum number of units that can accumulate while the account is idle
 * @property countsTokens whether a unit is a token; otherwise each request counts as one unit
 * @property defaultRequestUnits number of tokens charged for a request without a token count
 */
public data class AccountQuota(
    public val unitsPerSecond: Double,
    public val burstUnits: Double,
    public val countsTokens: Boolean,
    public val defaultRequestUnits: Long,
) {
    /** Returns the units charged for a request with [tokens] tokens, or with an unknown number of tokens if null. */
    public fun unitsOf(tokens: Long?): Long = if (countsTokens) tokens ?: defaultRequestUnits else 1
}
