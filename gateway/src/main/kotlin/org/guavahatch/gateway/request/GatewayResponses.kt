package org.guavahatch.gateway.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Responses that the gateway generates itself. */
internal object GatewayResponses {
    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Response headers, with `Retry-After` unless [retryAfterMilliseconds] is null. */
    fun headers(retryAfterMilliseconds: Long?): HttpHeaders {
        val headers = DefaultHttpHeaders()
        retryAfterMilliseconds?.let { headers.set(HttpHeaderNames.RETRY_AFTER, it / MILLISECONDS_PER_SECOND) }
        return headers
    }
}
