package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * The named objects of a deployment, which are checked and published as one.
 *
 * @property tiers classes of urgency; at least one
 * @property clientAccounts customers; at least one
 * @property endpointPools back ends; at least one
 * @property routes how calls reach pools; at least one
 * @property drains endpoints that take no new work, default none
 */
@Serializable
public data class ConfigurationSet(
    public val tiers: List<Tier>,
    public val clientAccounts: List<ClientAccount>,
    public val endpointPools: List<EndpointPool>,
    public val routes: List<Route>,
    public val drains: List<Drain> = emptyList(),
)
