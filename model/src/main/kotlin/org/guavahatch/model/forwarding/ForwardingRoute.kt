package org.guavahatch.model.forwarding

import kotlinx.collections.immutable.ImmutableList
import org.guavahatch.model.configuration.DispatchRule

/**
 * A part of a route's requests that goes to one pool.
 *
 * @property pool name of the endpoint pool
 * @property weight share of the requests, relative to the other targets of the route
 */
public data class RouteTarget(public val pool: String, public val weight: Int)

/**
 * A routing rule.
 *
 * @property name unique name
 * @property host value of the `Host` header
 * @property prefix beginning of the path; starts and ends with a slash
 * @property targets pools that serve the route, at least one
 * @property rule how often a request may be sent
 * @property isStream whether answers are event streams
 * @property timeoutMilliseconds longest time until the final answer
 * @property targetLatencyMilliseconds latency objective of the answer, or of the first event of a stream
 * @property maximumAttempts endpoints that may run one request
 * @property rank priority, 0 is the highest
 * @property isOpen whether callers need no key
 * @property maximumPauseMilliseconds objective of the pause between events, or null
 */
public data class ForwardingRoute(
    public val name: String,
    public val host: String,
    public val prefix: String,
    public val targets: ImmutableList<RouteTarget>,
    public val rule: DispatchRule,
    public val isStream: Boolean,
    public val timeoutMilliseconds: Long,
    public val targetLatencyMilliseconds: Long,
    public val maximumAttempts: Int,
    public val rank: Int,
    public val isOpen: Boolean,
    public val maximumPauseMilliseconds: Long? = null,
) {
    /** Whether a request that may have run can be sent again. */
    public val isRepeatable: Boolean get() = rule != DispatchRule.AT_MOST_ONCE
}
