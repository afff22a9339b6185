package org.guavahatch.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Settings of a gateway.
 *
 * @property name unique name of the instance
 * @property zone its availability zone
 * @property callers address on which callers connect
 * @property readiness address of the load balancer's readiness check
 * @property control address of the control interface: metrics and configuration over HTTP, and datagrams of peers
 * @property store address of the store that holds the configuration and the list of endpoints
 * @property configuration time limits for applying a configuration
 * @property retries limit of retries, over all gateways
 * @property quota tolerance above the quota of an account, over all gateways
 * @property stop time limit of a planned stop
 * @property endpoints limits for endpoints and their responses
 * @property requests limits of the requests that one gateway holds
 * @property rollouts limits of rollouts; null if rollouts are not carried out
 * @property zones use of endpoints in other availability zones
 * @property accounts use of a full pool by client accounts
 * @property callerConnections limits of the connections of callers
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
    val rollouts: RolloutSettings? = null,
    val zones: ZoneSettings = ZoneSettings(),
    val accounts: AccountSettings = AccountSettings(),
    val callerConnections: CallerConnectionSettings = CallerConnectionSettings(),
)

/**
 * Settings of the connection to the store.
 *
 * @property address IP address and port
 * @property readersPerZone number of gateways in each zone that poll the store for all of the zone; with 0, every
 * gateway polls it for itself
 */
@Serializable
data class StoreSettings(val address: String, val readersPerZone: Int = 0) {
    init {
        require(readersPerZone >= 0) { "store.readersPerZone: $readersPerZone; 0 or more is allowed" }
    }
}

/**
 * Time limits for applying a configuration.
 *
 * @property applyMilliseconds time from the acceptance of a configuration until it must be in force
 * @property revocationMilliseconds time from the removal of a key until no request with it may be served
 */
@Serializable
data class ConfigurationSettings(val applyMilliseconds: Long, val revocationMilliseconds: Long)

/**
 * Limit of retries for each pool, over all gateways.
 *
 * @property perRequest retries allowed for each request
 * @property fixed additional retries allowed in each window
 * @property windowSeconds length of the sliding window
 */
@Serializable
data class RetrySettings(val perRequest: Double, val fixed: Double, val windowSeconds: Double)

/**
 * Tolerance above the quota of an account, over all gateways.
 *
 * @property overage tolerance as a fraction of the quota, default 0
 * @property slackTokens additional tolerance in tokens within any window, default 0
 */
@Serializable
data class QuotaSettings(val overage: Double = 0.0, val slackTokens: Double = 0.0)

/**
 * Time limit of a planned stop.
 *
 * @property graceSeconds time from the signal until the process is killed
 */
@Serializable
data class StopSettings(val graceSeconds: Double)

/**
 * Limits for endpoints and their responses.
 *
 * @property drainMilliseconds time for which a leaving endpoint still serves after the gateway has learned of it
 * @property maximumAnswerBytes size of a response, of an event of a stream, and of the data skipped before a response
 * @property maximumHeldBytes bytes of incomplete responses and events, over all requests of the gateway
 */
@Serializable
data class EndpointSettings(
    val drainMilliseconds: Long,
    val maximumAnswerBytes: Long = 1024 * 1024,
    val maximumHeldBytes: Long = 8L * 1024 * 1024,
)

/**
 * Limits of the requests that one gateway holds.
 *
 * @property maximumWaiting requests of one pool that may wait
 * @property maximumBodyBytes bytes of request bodies that may be buffered, complete or not; at most a third of the heap
 */
@Serializable
data class RequestSettings(val maximumWaiting: Int = 2_000, val maximumBodyBytes: Long = 48L * 1024 * 1024)
