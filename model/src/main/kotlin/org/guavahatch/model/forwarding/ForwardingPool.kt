package org.guavahatch.model.forwarding

/**
 * Endpoints that serve the same requests.
 *
 * @property name unique name
 * @property healthPath path of the health check
 * @property maximumConnections connections that one endpoint accepts from all gateways together
 * @property engine what is known of the model engines of the pool, or null for applications
 */
public data class ForwardingPool(
    public val name: String,
    public val healthPath: String,
    public val maximumConnections: Int,
    public val engine: EngineTraits? = null,
)

/**
 * Model engines of a pool.
 *
 * @property slots requests in one batch
 * @property cacheTokens memory for tokens of running requests and kept prompt parts
 */
public data class EngineTraits(public val slots: Int, public val cacheTokens: Long)
