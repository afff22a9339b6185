package org.guavahatch.gateway.control

import org.guavahatch.model.forwarding.ForwardingConfiguration
import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.scheduling.quarantine.Quarantine
import org.guavahatch.scheduling.rollout.RolloutOrder
import org.guavahatch.scheduling.rollout.RolloutRecord

/** Receives the changes that a platform adapter observes, on the gateway's event loop. */
interface PlatformListener {
    /** Number of gaps seen in the monotonic clock; read before each request to the store. */
    val clockGaps: Int

    /**
     * The newest configuration in the store is [configuration].
     *
     * @param requestedAt monotonic time at which the store was asked
     * @param clockGapsAtRequest [clockGaps] at that time
     * @param document the configuration as stored, for peers that cannot reach the store
     */
    fun onConfiguration(
        configuration: ForwardingConfiguration,
        document: ByteArray,
        requestedAt: Long,
        clockGapsAtRequest: Int,
    )

    /** The store has no newer configuration than the one in force. */
    fun onConfigurationUnchanged(requestedAt: Long, clockGapsAtRequest: Int)

    /** [endpoint] was added or has changed. */
    fun onEndpointChanged(endpoint: ListedEndpoint)

    /** The endpoint [id] was removed. */
    fun onEndpointRemoved(id: EndpointId)

    /** [peers] holds the control addresses of all registered gateways by name. */
    fun onGatewaysChanged(peers: Map<String, String>)

    /** The store holds the quarantine [stored]. */
    fun onQuarantineStored(stored: Quarantine)

    /** The quarantine [deleted] was deleted from the store. */
    fun onQuarantineDeleted(deleted: Quarantine)

    /**
     * The store holds the rollout order [order].
     *
     * @param isAtStart whether it was there when this gateway started, so that an earlier run may have acted on it
     */
    fun onRolloutOrdered(order: RolloutOrder, isAtStart: Boolean)

    /** The rollout order for [pool] in the store is invalid or was deleted, as [reason] says. */
    fun onRolloutOrderRefused(pool: String, reason: String)

    /**
     * The store holds [record] as the state of the rollout of [pool], or none if it is null.
     *
     * @param withdrawn versions that earlier orders have rolled back or replaced
     * @param elapsedMilliseconds time since the start of the rollout by the store's clock
     */
    fun onRolloutRecord(pool: String, record: RolloutRecord?, withdrawn: Set<String>, elapsedMilliseconds: Long)

    /** The connection to [dependency] was lost, for [reason]. */
    fun onDependencyLost(dependency: String, reason: String)

    /** The connection to [dependency] works again. */
    fun onDependencyRegained(dependency: String)
}
