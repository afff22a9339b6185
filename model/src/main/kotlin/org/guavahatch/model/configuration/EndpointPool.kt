package org.guavahatch.model.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of endpoints in a pool. */
@Serializable
public enum class PoolKind {
    /** Model engines with continuous batching and token streaming. */
    @SerialName("model")
    MODEL,

    /** Application services without token accounting. */
    @SerialName("application")
    APPLICATION,
}

/**
 * A set of endpoints that can serve the same requests.
 *
 * @property name name, unique among the pools
 * @property kind kind of its endpoints
 * @property zones availability zones in which the pool has endpoints, at least one
 * @property maximumConcurrent maximum number of requests that a sidecar runs at its endpoint at a time, 1 to 4096,
 * default 16
 * @property maximumTokens maximum number of prompt and output tokens of the requests that a sidecar runs at its
 * endpoint at a time, 1 to 100 000 000, default 200 000; for model pools
 * @property maximumPrefills maximum number of requests at the endpoint that have not yet produced their first token,
 * 1 to 4096, default 4; for model pools
 * @property engineSettings settings that are applied to the engines of the pool, default none; for model pools
 * @property checksFencing whether the engines reject orders with an outdated fencing number, default true
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
