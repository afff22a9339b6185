package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * All named objects of a deployment. They are validated and published together.
 *
 * @property tiers priority tiers, at least one
 * @property clientAccounts client accounts, at least one
 * @property endpointPools endpoint pools, at least one
 * @property routes rules that map requests to pools, at least one
 * @property drains endpoints that accept no new requests, default none
 */
@Serializable
public data class ConfigurationSet(
    public val tiers: List<Tier>,
    public val clientAccounts: List<ClientAccount>,
    public val endpointPools: List<EndpointPool>,
    public val routes: List<Route>,
    public val drains: List<Drain> = emptyList(),
)
