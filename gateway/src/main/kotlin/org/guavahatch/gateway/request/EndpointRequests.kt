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

/** Makes the messages that cross the gateway: without headers of one connection, with those that the gateway sets. */
class EndpointRequests(private val names: GatewayHeaders) {
    /**
     * The request of [plan] for [endpoint].
     *
     * @param budgetMilliseconds time that is left
     * @param lastEventId last event that the caller has got through this gateway, or null
     */
    fun request(
        plan: RequestPlan,
        endpoint: EndpointId,
        budgetMilliseconds: Long,
        lastEventId: Long?,
    ): FullHttpRequest {
        val source = plan.request
        val headers = endToEnd(source.headers)
        names.reserved.forEach(headers::remove)
        headers.set(names.timeBudget, budgetMilliseconds)
        headers.set(names.expectedEndpoint, endpoint.value)
        plan.account?.let { headers.set(names.account, it.name) }
        lastEventId?.let { headers.set(names.lastEventId, it) }
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

    /** The headers of an endpoint's answer that go on to the caller. */
    fun answerHeaders(headers: HttpHeaders): HttpHeaders = endToEnd(headers)

    private fun endToEnd(headers: HttpHeaders): HttpHeaders {
        val named = headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim() }
        val copy = DefaultHttpHeaders().add(headers)
        named.filter { it.isNotEmpty() }.forEach(copy::remove)
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
