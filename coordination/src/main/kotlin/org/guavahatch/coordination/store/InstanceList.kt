package org.guavahatch.coordination.store

import arrow.core.Either
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of an instance in the instance list of the platform. */
@Serializable
public enum class InstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * A sidecar in the instance list of the platform. The list may be out of date.
 *
 * @property name name of the endpoint that the sidecar serves
 * @property pool endpoint pool of the endpoint
 * @property zone availability zone of the endpoint
 * @property host IP address
 * @property port port for connections from entry instances
 * @property state whether the instance is live or leaving
 */
@Serializable
public data class Instance(
    public val name: String,
    public val pool: String,
    public val zone: String,
    public val host: String,
    public val port: Int,
    public val state: InstanceState = InstanceState.LIVE,
)

/** The instance list of the platform, which may be out of date. */
public interface InstanceList {
    /** Returns the sidecars of the deployment that the platform lists. */
    public suspend fun instances(): Either<PlatformError, List<Instance>>
}
