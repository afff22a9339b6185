package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * A customer's account.
 *
 * @property name unique among the accounts
 * @property keys client keys, as salted hashes; at least one
 * @property highestTier name of the highest tier that the account may use
 * @property share weight of the account when accounts compete within a tier, 1 to 1000, default 1
 * @property maximumInFlight requests that one entry instance holds for the account, 1 to 100 000, default 1000
 */
@Serializable
public data class ClientAccount(
    public val name: String,
    public val keys: List<HashedKey>,
    public val highestTier: String,
    public val share: Int = 1,
    public val maximumInFlight: Int = 1000,
)
