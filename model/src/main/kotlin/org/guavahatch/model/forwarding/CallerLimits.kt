package org.guavahatch.model.forwarding

/**
 * Size and time limits for requests from callers.
 *
 * @property maximumHeaderBytes maximum size of the request head (request line and headers)
 * @property maximumBodyBytes maximum size of the request body
 * @property headerTimeoutMilliseconds maximum time between the first and the last byte of a request head
 * @property idleTimeoutMilliseconds maximum time for which a connection may be idle between requests
 */
public data class CallerLimits(
    public val maximumHeaderBytes: Int,
    public val maximumBodyBytes: Int,
    public val headerTimeoutMilliseconds: Long,
    public val idleTimeoutMilliseconds: Long,
)
