package org.guavahatch.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Use of a full pool by client accounts.
 *
 * @property fairShares whether an account's share of a full pool is bounded while other accounts wait
 * @property plannedReturns whether `Retry-After` spreads rejected callers over the time at which capacity is expected
 */
@Serializable
data class AccountSettings(val fairShares: Boolean = false, val plannedReturns: Boolean = false)
