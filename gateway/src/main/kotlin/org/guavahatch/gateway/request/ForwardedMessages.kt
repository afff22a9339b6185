package org.guavahatch.gateway.request

import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpVersion
import org.guavahatch.gateway.GatewayHeaders
import org.guavahatch.model.identity.EndpointId

/** Builds forwarded requests and response headers: drops hop-by-hop headers and adds those that the gateway sets. */
class ForwardedMessages(private val headerNames: GatewayHeaders) {
    /**
     * The request of [plan] for [endpoint].
     *
     * @param budgetMilliseconds remaining time of the request
     * @param lastEventId id of the last event that this gateway has sent to the caller, or null
     */
    fun request(
        plan: RequestPlan,
        endpoint: EndpointId,
        budgetMilliseconds: Long,
        lastEventId: Long?,
    ): FullHttpRequest {
        val source = plan.request
        val headers = endToEnd(source.headers)
        headerNames.reserved.forEach(headers::remove)
        headers.set(headerNames.timeBudget, budgetMilliseconds)
        headers.set(headerNames.expectedEndpoint, endpoint.value)
        plan.account?.let { headers.set(headerNames.account, it.name) }
        lastEventId?.let { headers.set(headerNames.lastEventId, it) }
        val hasBody = source.body.isReadable || source.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, source.body.readableBytes())
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            source.method,
            source.target,
            source.body.retainedDuplicate(),
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
    }

    /** The headers of an endpoint's response that are forwarded to the caller. */
    fun responseHeaders(headers: HttpHeaders): HttpHeaders = endToEnd(headers)

    private fun endToEnd(headers: HttpHeaders): HttpHeaders {
        val connectionOptions = headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim() }
        val copy = DefaultHttpHeaders().add(headers)
        connectionOptions.filter { it.isNotEmpty() }.forEach(copy::remove)
        HOP_BY_HOP.forEach(copy::remove)
        copy.remove(HttpHeaderNames.CONTENT_LENGTH)
        return copy
    }

    private companion object {
        /** RFC 9110, section 7.6.1. */
        val HOP_BY_HOP = listOf(
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
            "Expect",
        )
    }
}
