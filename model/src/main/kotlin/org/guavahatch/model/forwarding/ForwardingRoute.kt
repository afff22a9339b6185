package org.guavahatch.model.forwarding

import kotlinx.collections.immutable.ImmutableList
import org.guavahatch.model.configuration.DispatchRule

/**
 * An endpoint pool that receives a share of the requests of a route.
 *
 * @property pool name of the endpoint pool
 * @property weight share of the requests, relative to the other targets of the route
 */
public data class RouteTarget(public val pool: String, public val weight: Int)

/**
 * A rule that forwards requests to endpoint pools.
 *
 * @property name unique name
 * @property host value of the `Host` header
 * @property prefix path prefix; starts and ends with a slash
 * @property targets endpoint pools that serve the route, at least one
 * @property dispatchRule whether a request may be dispatched more than once
 * @property isStream whether answers are event streams
 * @property timeoutMilliseconds maximum time until the answer is complete
 * @property targetLatencyMilliseconds latency objective for the answer, or for the first event of a stream
 * @property maximumAttempts maximum number of endpoints to which one request may be sent
 * @property rank priority, 0 is the highest
 * @property allowsAnonymousCallers whether callers may omit the key
 * @property maximumPauseMilliseconds objective for the longest pause between two events of a stream, or null
 */
public data class ForwardingRoute(
    public val name: String,
    public val host: String,
    public val prefix: String,
    public val targets: ImmutableList<RouteTarget>,
    public val dispatchRule: DispatchRule,
    public val isStream: Boolean,
    public val timeoutMilliseconds: Long,
    public val targetLatencyMilliseconds: Long,
    public val maximumAttempts: Int,
    public val rank: Int,
    public val allowsAnonymousCallers: Boolean,
    public val maximumPauseMilliseconds: Long? = null,
) {
    /** Whether a request can be sent again after it may already have run. */
    public val isRepeatable: Boolean get() = dispatchRule != DispatchRule.AT_MOST_ONCE
}
