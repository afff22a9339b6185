package org.guavahatch.protocol.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation

/** The role of a process. */
@Serializable
public enum class ProcessRole {
    /** Accepts callers' requests. */
    @SerialName("entry")
    ENTRY,

    /** Stands beside one endpoint. */
    @SerialName("sidecar")
    SIDECAR,
}

/**
 * First message of each side of a connection.
 *
 * @property protocolVersion version of the messages, see [PROTOCOL_VERSION]
 * @property role what the sender is
 * @property name name of the sender; for a sidecar the name of its endpoint
 * @property incarnation run of the sender
 * @property zone availability zone of the sender
 * @property configuration version in force at the sender
 * @property challenge random text that the receiver has to sign
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
 * Second message of each side: shows that the sender has the shared key.
 *
 * @property signature HMAC-SHA-256 over the receiver's challenge and the sender's incarnation, in hexadecimal digits
 */
@Serializable
@SerialName("proof")
public data class Proof(public val signature: String) : Message

/**
 * Sent at fixed intervals, and keeps the connection from counting as silent.
 *
 * @property configuration version in force at the sender
 */
@Serializable
@SerialName("heartbeat")
public data class Heartbeat(public val configuration: ConfigurationVersion) : Message

/**
 * Hands a configuration to a process that has a lower one.
 *
 * @property version version of the text
 * @property text the published text, whose hash is `version.contentHash`
 */
@Serializable
@SerialName("configuration")
public data class ConfigurationContent(public val version: ConfigurationVersion, public val text: String) : Message

/**
 * State of an endpoint as its sidecar sees it.
 *
 * @property endpoint the endpoint
 * @property pool pool of the endpoint
 * @property isAccepting whether the sidecar takes new offers
 * @property runningRequests requests at the endpoint
 * @property runningCost estimated cost that is left of the running requests
 * @property queued requests and cost that wait, by tier
 * @property lowestRunningRank greatest tier rank among the running requests, or -1
 * @property costPerSecond cost that the endpoint works off in a second at its present load
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
 * The requests of one tier that wait at a sidecar.
 *
 * @property rank rank of the tier
 * @property requests how many
 * @property cost sum of their estimated costs
 */
@Serializable
public data class QueuedTier(public val rank: Int, public val requests: Int, public val cost: Double)

/** Says that the sender takes no new work. A sidecar finishes what it has been granted. */
@Serializable
@SerialName("leaving")
public data object Leaving : Message

/**
 * Says whether the sender's endpoint is much slower than it was a moment ago.
 *
 * @property isStraggling whether it should get no further work while others can take it
 */
@Serializable
@SerialName("straggling")
public data class Straggling(public val isStraggling: Boolean) : Message
