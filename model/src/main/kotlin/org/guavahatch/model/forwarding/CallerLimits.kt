package org.guavahatch.model.forwarding

/**
 * What a caller may send and how long it may take.
 *
 * @property maximumHeaderBytes size of a request's head
 * @property maximumBodyBytes size of a request's body
 * @property headerTimeoutMilliseconds time from the first byte of a head to its end
 * @property idleTimeoutMilliseconds time for which a connection may stay without a request
 */
public data class CallerLimits(
    public val maximumHeaderBytes: Int,
    public val maximumBodyBytes: Int,
    public val headerTimeoutMilliseconds: Long,
    public val idleTimeoutMilliseconds: Long,
)
