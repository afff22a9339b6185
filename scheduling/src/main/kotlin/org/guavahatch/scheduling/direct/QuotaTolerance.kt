package org.guavahatch.scheduling.direct

import org.guavahatch.model.forwarding.AccountQuota

/**
 * What operators accept beyond a quota, because many gateways count it together.
 *
 * One half is given to callers, so that fewer are refused close to the limit; the other half covers what gateways have
 * not heard of each other yet.
 *
 * @property overage part of the rate and the burst
 * @property slackUnits units within any window, beside that part
 */
public data class QuotaTolerance(public val overage: Double, public val slackUnits: Double) {
    /** [quota] with the callers' half. */
    public fun extend(quota: AccountQuota): AccountQuota = quota.copy(
        unitsPerSecond = quota.unitsPerSecond * (1 + overage / 2),
        burstUnits = quota.burstUnits * (1 + overage / 2) + if (quota.countsTokens) slackUnits / 2 else 0.0,
    )

    public companion object {
        /** Nothing beyond the quota. */
        public val NONE: QuotaTolerance = QuotaTolerance(0.0, 0.0)
    }
}
