package org.guavahatch.coordination.store

import arrow.core.Either
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of an instance in the platform's list. */
@Serializable
public enum class InstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * A sidecar in the platform's list. The list lags behind what is so.
 *
 * @property name name of the endpoint that the sidecar stands beside
 * @property pool pool of the endpoint
 * @property zone availability zone
 * @property host IP number
 * @property port port for connections of entry instances
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

/** The platform's lagging list of instances. */
public interface InstanceList {
    /** The sidecars of the deployment, as the platform knows them. */
    public suspend fun instances(): Either<PlatformError, List<Instance>>
}
