package org.guavahatch.scheduling.direct

import org.guavahatch.model.forwarding.AccountQuota

/**
 * Use beyond a quota that operators accept, because several gateways enforce it with delayed knowledge of each other.
 *
 * One half is granted to callers, so that fewer requests are refused close to the limit. The other half covers use that
 * gateways have not reported to each other yet.
 *
 * @property overage share of the rate and the burst, for example 0.1 for a tenth
 * @property slackUnits fixed number of additional units in any window
 */
public data class QuotaTolerance(public val overage: Double, public val slackUnits: Double) {
    /** Returns [quota] increased by the half that is granted to callers; the slack applies to token quotas only. */
    public fun extend(quota: AccountQuota): AccountQuota = quota.copy(
        unitsPerSecond = quota.unitsPerSecond * (1 + overage / 2),
        burstUnits = quota.burstUnits * (1 + overage / 2) + if (quota.countsTokens) slackUnits / 2 else 0.0,
    )

    public companion object {
        /** Accepts no use beyond the quota. */
        public val NONE: QuotaTolerance = QuotaTolerance(0.0, 0.0)
    }
}
