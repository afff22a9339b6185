package org.guavahatch.model.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a request may be dispatched to an endpoint more than once. */
@Serializable
public enum class DispatchRule {
    /** The request is dispatched at most once. Without an answer from that endpoint, the outcome is unknown. */
    @SerialName("at-most-once")
    AT_MOST_ONCE,

    /** The answer is a stream that another endpoint can continue after the part that the caller has received. */
    @SerialName("resumable")
    RESUMABLE,

    /** The request may be dispatched again as long as no part of the answer has reached the caller. */
    @SerialName("repeatable")
    REPEATABLE,
}

/** How a route handles the header `Idempotency-Key`. */
@Serializable
public enum class IdempotencyKeyRule {
    /** Requests without the header are refused. */
    @SerialName("required")
    REQUIRED,

    /** The header is ignored. */
    @SerialName("ignored")
    IGNORED,
}

/**
 * Maps requests to an endpoint pool.
 *
 * @property name name, unique among the routes
 * @property pathPrefix prefix of the request paths that the route matches; starts with `/`; the longest matching prefix
 * takes precedence
 * @property removedPrefix prefix that is removed from the path before the request is sent to an endpoint, default none;
 * must be a prefix of [pathPrefix]
 * @property methods HTTP methods that the route allows, at least one
 * @property pool name of the endpoint pool
 * @property dispatch whether a request may be dispatched more than once
 * @property idempotencyKey whether callers must send an idempotency key, default ignored
 * @property defaultTier name of the tier of requests that do not specify one
 * @property defaultDeadlineMilliseconds deadline of requests that do not specify one, 1 to 3 600 000,
 * default 30 000
 * @property maximumBodyBytes maximum size of a request body, 0 to 8 388 608, default 1 048 576
 * @property maximumPromptTokens maximum estimated number of prompt tokens of a request, 1 to 1 000 000,
 * default 100 000; for model pools
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
