package org.guavahatch.protocol.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation

/** The role of a process. */
@Serializable
public enum class ProcessRole {
    /** An entry instance, which accepts requests from callers. */
    @SerialName("entry")
    ENTRY,

    /** A sidecar, which runs next to a single endpoint. */
    @SerialName("sidecar")
    SIDECAR,
}

/**
 * The first message that each side of a connection sends.
 *
 * @property protocolVersion version of the messages, see [PROTOCOL_VERSION]
 * @property role role of the sender
 * @property name name of the sender; for a sidecar, the name of its endpoint
 * @property incarnation incarnation of the sender
 * @property zone availability zone of the sender
 * @property configuration configuration version in force at the sender
 * @property challenge random text that the receiver must sign
 */
@Serializable
@SerialName("hello")
public data class Hello(
    public val protocolVersion: Int,
    public val role: ProcessRole,
    public val name: String,
    public val incarnation: Incarnation,
    public val zone: String,
    public val configuration: ConfigurationVersion,
    public val challenge: String,
) : Message

/**
 * The second message that each side sends. Proves that the sender has the shared key.
 *
 * @property signature HMAC-SHA-256 over the receiver's challenge and the sender's incarnation, as hexadecimal digits
 */
@Serializable
@SerialName("proof")
public data class Proof(public val signature: String) : Message

/**
 * Sent at fixed intervals so that the receiver does not close the connection as silent.
 *
 * @property configuration configuration version in force at the sender
 */
@Serializable
@SerialName("heartbeat")
public data class Heartbeat(public val configuration: ConfigurationVersion) : Message

/**
 * Sends a configuration to a process that has a lower version.
 *
 * @property version version of the text
 * @property text the published text, whose hash is `version.contentHash`
 */
@Serializable
@SerialName("configuration")
public data class ConfigurationContent(public val version: ConfigurationVersion, public val text: String) : Message

/**
 * State of an endpoint as measured by its sidecar.
 *
 * @property endpoint name of the endpoint
 * @property pool name of the endpoint pool
 * @property isAccepting whether the sidecar accepts new offers
 * @property runningRequests number of requests that run at the endpoint
 * @property runningCost estimated remaining cost of the running requests
 * @property queued number and cost of the waiting requests, by tier
 * @property lowestRunningRank greatest rank (that is, lowest tier) among the running requests, or -1 if none runs
 * @property costPerSecond cost that the endpoint processes per second at its current load
 */
@Serializable
@SerialName("digest")
public data class Digest(
    public val endpoint: EndpointId,
    public val pool: String,
    public val isAccepting: Boolean,
    public val runningRequests: Int,
    public val runningCost: Double,
    public val queued: List<QueuedTier>,
    public val lowestRunningRank: Int,
    public val costPerSecond: Double,
) : Message

/**
 * The waiting requests of one tier at a sidecar.
 *
 * @property rank rank of the tier
 * @property requests number of waiting requests
 * @property cost sum of the estimated costs of these requests
 */
@Serializable
public data class QueuedTier(public val rank: Int, public val requests: Int, public val cost: Double)

/** Announces that the sender accepts no new requests. A sidecar still completes the requests granted to it. */
@Serializable
@SerialName("leaving")
public data object Leaving : Message

/**
 * Reports whether the sender's endpoint has become much slower than it was shortly before.
 *
 * @property isStraggling whether the endpoint should get no new requests while other endpoints can take them
 */
@Serializable
@SerialName("straggling")
public data class Straggling(public val isStraggling: Boolean) : Message
