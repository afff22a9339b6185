package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * An instruction by an operator to send no new requests to an endpoint.
 *
 * @property endpoint name of the endpoint
 * @property pool name of the pool that the endpoint belongs to
 * @property reason reason for the drain, recorded in the configuration history
 * @property expiresAtMilliseconds time at which the drain expires, in milliseconds since 1970-01-01T00:00:00Z;
 * 0 (the default) if it never expires
 */
@Serializable
public data class Drain(
    public val endpoint: String,
    public val pool: String,
    public val reason: String,
    public val expiresAtMilliseconds: Long = 0,
) {
    /** Returns whether the drain is in force at the wall-clock time [nowMilliseconds]. */
    public fun isInForce(nowMilliseconds: Long): Boolean =
        expiresAtMilliseconds == 0L || nowMilliseconds < expiresAtMilliseconds
}
