package org.guavahatch.gateway.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Answers that the gateway itself gives. */
internal object OwnAnswers {
    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Headers of an answer; [retryAfterMilliseconds] tells when to come back, null for no advice. */
    fun headers(retryAfterMilliseconds: Long?): HttpHeaders {
        val headers = DefaultHttpHeaders()
        retryAfterMilliseconds?.let { headers.set(HttpHeaderNames.RETRY_AFTER, it / MILLISECONDS_PER_SECOND) }
        return headers
    }
}
