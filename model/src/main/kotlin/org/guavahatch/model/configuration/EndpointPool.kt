package org.guavahatch.model.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What kind of back end a pool consists of. */
@Serializable
public enum class PoolKind {
    /** Model engines that batch continuously and stream tokens. */
    @SerialName("model")
    MODEL,

    /** Plain services. */
    @SerialName("application")
    APPLICATION,
}

/**
 * A set of endpoints that can serve the same requests.
 *
 * @property name unique among the pools
 * @property kind what its endpoints are
 * @property zones availability zones in which it has endpoints; at least one
 * @property maximumConcurrent requests that a sidecar has at its endpoint at once, 1 to 4096, default 16
 * @property maximumTokens tokens of prompt and output that a sidecar has at its endpoint at once,
 * 1 to 100 000 000, default 200 000; for model pools
 * @property maximumPrefills requests that a sidecar has at its endpoint before their first token, 1 to 4096, default 4;
 * for model pools
 * @property engineSettings what the engines are set to by orders, default nothing; for model pools
 * @property checksFencing whether the engines refuse orders with an old fencing number, default true
 */
@Serializable
public data class EndpointPool(
    public val name: String,
    public val kind: PoolKind,
    public val zones: List<String>,
    public val maximumConcurrent: Int = 16,
    public val maximumTokens: Long = 200_000,
    public val maximumPrefills: Int = 4,
    public val engineSettings: List<EngineSetting> = emptyList(),
    public val checksFencing: Boolean = true,
)
