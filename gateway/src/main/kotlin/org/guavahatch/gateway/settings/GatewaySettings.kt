package org.guavahatch.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Settings of a gateway.
 *
 * @property name unique name of the instance
 * @property zone its availability zone
 * @property callers address for callers
 * @property readiness address of the load balancer's readiness check
 * @property control address of the gateway's own interface: metrics, configuration, and datagrams of its peers
 * @property store address of the store that holds the configuration and the list of endpoints
 * @property configuration bounds of a configuration's way into force
 * @property retries limit of repeated requests, over all gateways
 * @property quota what may pass beyond the quota of an account, over all gateways
 * @property stop bounds of a planned stop
 * @property endpoints bounds of what endpoints do
 * @property requests bounds of what one gateway holds
 */
@Serializable
data class GatewaySettings(
    val name: String,
    val zone: String,
    val callers: String,
    val readiness: String,
    val control: String,
    val store: StoreSettings,
    val configuration: ConfigurationSettings,
    val retries: RetrySettings,
    val quota: QuotaSettings = QuotaSettings(),
    val stop: StopSettings,
    val endpoints: EndpointSettings,
    val requests: RequestSettings = RequestSettings(),
)

/**
 * The store.
 *
 * @property address IP address and port
 */
@Serializable
data class StoreSettings(val address: String)

/**
 * Bounds of a configuration's way into force.
 *
 * @property applyMilliseconds time from its acceptance until it must be in force
 * @property revocationMilliseconds time from the removal of a key until no request with it may be served
 */
@Serializable
data class ConfigurationSettings(val applyMilliseconds: Long, val revocationMilliseconds: Long)

/**
 * Limit of repeated requests, over all gateways and for each pool.
 *
 * @property perRequest repeats for each request
 * @property fixed repeats within a window beside those
 * @property windowSeconds length of the sliding window
 */
@Serializable
data class RetrySettings(val perRequest: Double, val fixed: Double, val windowSeconds: Double)

/**
 * What may pass beyond the quota of an account, over all gateways.
 *
 * @property overage part of the quota, default 0
 * @property slackTokens tokens within any window beside that part, default 0
 */
@Serializable
data class QuotaSettings(val overage: Double = 0.0, val slackTokens: Double = 0.0)

/**
 * Bounds of a planned stop.
 *
 * @property graceSeconds time from the signal until the process is killed
 */
@Serializable
data class StopSettings(val graceSeconds: Double)

/**
 * Bounds of what endpoints do.
 *
 * @property drainMilliseconds time that an endpoint still serves after it was known to leave
 * @property maximumAnswerBytes size of an answer, of an event of a stream, and of what is passed over before an answer
 * @property maximumHeldBytes bytes of answers and events that are not whole yet, over all requests of the gateway
 */
@Serializable
data class EndpointSettings(
    val drainMilliseconds: Long,
    val maximumAnswerBytes: Long = 1024 * 1024,
    val maximumHeldBytes: Long = 8L * 1024 * 1024,
)

/**
 * Bounds of what one gateway holds.
 *
 * @property maximumWaiting requests of one pool that may wait
 * @property maximumBodyBytes bytes of request bodies that may be held
 */
@Serializable
data class RequestSettings(val maximumWaiting: Int = 2_000, val maximumBodyBytes: Long = 48L * 1024 * 1024)
