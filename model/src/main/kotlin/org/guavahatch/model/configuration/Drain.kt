package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * An operator's order that an endpoint takes no new work.
 *
 * @property endpoint name of the endpoint
 * @property pool name of the pool that the endpoint belongs to
 * @property reason why, for the history
 * @property expiresAtMilliseconds when the drain ends by itself, in milliseconds since 1970; 0 is never, the default
 */
@Serializable
public data class Drain(
    public val endpoint: String,
    public val pool: String,
    public val reason: String,
    public val expiresAtMilliseconds: Long = 0,
) {
    /** Whether the drain is in force at the wall clock time [nowMilliseconds]. */
    public fun isInForce(nowMilliseconds: Long): Boolean =
        expiresAtMilliseconds == 0L || nowMilliseconds < expiresAtMilliseconds
}
