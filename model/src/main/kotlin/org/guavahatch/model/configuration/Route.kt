package org.guavahatch.model.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How often a call may be handed to an endpoint. */
@Serializable
public enum class DispatchRule {
    /** Once. After that only the endpoint's answer, or silence, settles what became of it. */
    @SerialName("at-most-once")
    AT_MOST_ONCE,

    /** A stream that another endpoint can continue from what the caller has. */
    @SerialName("resumable")
    RESUMABLE,

    /** Again, as long as nothing of the answer has reached the caller. */
    @SerialName("repeatable")
    REPEATABLE,
}

/** Whether a route works with the header `Idempotency-Key`. */
@Serializable
public enum class IdempotencyKeyRule {
    /** A request without the header is refused. */
    @SerialName("required")
    REQUIRED,

    /** The header is not looked at. */
    @SerialName("ignored")
    IGNORED,
}

/**
 * Maps calls to a pool.
 *
 * @property name unique among the routes
 * @property pathPrefix calls whose path starts with this take the route; the longest prefix wins; starts with `/`
 * @property removedPrefix start of the path that endpoints do not get to see, default none; [pathPrefix] starts with it
 * @property methods HTTP methods that the route allows; at least one
 * @property pool name of the endpoint pool
 * @property dispatch how often a call may be handed to an endpoint
 * @property idempotencyKey whether callers name their attempts, default ignored
 * @property defaultTier name of the tier of calls that do not ask for one
 * @property defaultDeadlineMilliseconds deadline of calls that do not ask for one, 1 to 3 600 000, default 30 000
 * @property maximumBodyBytes largest body of a call, 0 to 8 388 608, default 1 048 576
 * @property maximumPromptTokens largest prompt of a call, estimated; 1 to 1 000 000, default 100 000; for model pools
 */
@Serializable
public data class Route(
    public val name: String,
    public val pathPrefix: String,
    public val removedPrefix: String = "",
    public val methods: List<String>,
    public val pool: String,
    public val dispatch: DispatchRule,
    public val idempotencyKey: IdempotencyKeyRule = IdempotencyKeyRule.IGNORED,
    public val defaultTier: String,
    public val defaultDeadlineMilliseconds: Long = 30_000,
    public val maximumBodyBytes: Int = 1_048_576,
    public val maximumPromptTokens: Int = 100_000,
)
