package org.guavahatch.gateway.control

import org.guavahatch.model.forwarding.ForwardingConfiguration
import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId

/** Receives what an adapter learns from the platform, on the gateway's thread. */
interface PlatformListener {
    /** Number of gaps in the monotonic clock that were seen; taken before a question is asked. */
    val clockGaps: Int

    /**
     * The store holds [configuration] as the newest one.
     *
     * @param askedAt monotonic time at which the question was asked
     * @param gapsThen [clockGaps] at that time
     * @param document the configuration as the store holds it, for peers that cannot reach the store
     */
    fun onConfiguration(configuration: ForwardingConfiguration, document: ByteArray, askedAt: Long, gapsThen: Int)

    /** The store holds nothing newer than the configuration in force. */
    fun onConfigurationUnchanged(askedAt: Long, gapsThen: Int)

    /** [endpoint] is new or has changed. */
    fun onEndpointChanged(endpoint: ListedEndpoint)

    /** The endpoint [id] is gone. */
    fun onEndpointGone(id: EndpointId)

    /** [peers] are all registered gateways: names and control addresses. */
    fun onGateways(peers: Map<String, String>)

    /** The connection to [dependency] was lost, for [reason]. */
    fun onDependencyLost(dependency: String, reason: String)

    /** The connection to [dependency] works again. */
    fun onDependencyRegained(dependency: String)
}
