package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * An account of a client that sends requests.
 *
 * @property name name, unique among the client accounts
 * @property keys salted hashes of the client keys, at least one
 * @property highestTier name of the highest tier that the account may use
 * @property share weight of the account relative to other accounts in the same tier, 1 to 1000, default 1
 * @property maximumInFlight maximum number of requests that one entry instance holds for the account at a time,
 * 1 to 100 000, default 1000
 */
@Serializable
public data class ClientAccount(
    public val name: String,
    public val keys: List<HashedKey>,
    public val highestTier: String,
    public val share: Int = 1,
    public val maximumInFlight: Int = 1000,
)
