package org.guavahatch.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import org.guavahatch.model.forwarding.CallerLimits

/**
 * A complete request as received from a caller.
 *
 * @property method HTTP method
 * @property target path and query, unchanged
 * @property headers all headers
 * @property body the body; the receiver of the request releases it
 * @property receivedAt monotonic time at which its head was received
 */
class CallerRequest(
    val method: HttpMethod,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
    val receivedAt: Long,
)

/** Accepts requests from the connections of callers. */
interface RequestAcceptor {
    /** Current limits of header and body size, and timeouts. */
    val limits: CallerLimits

    /** Whether connections are to be closed after their current request. */
    val isStopping: Boolean

    /** Accepts or refuses [request]; the returned listener, if any, receives the events of its connection. */
    fun accept(request: CallerRequest, responder: CallerResponder): CallerRequestListener?

    /** Budget for the bytes of request bodies, complete or not. */
    val bodies: BodyBudget

    /**
     * Notes that [request] is refused because its body finds no room.
     *
     * @return milliseconds after which the caller may try again
     */
    fun onBodyRefused(request: HttpRequest): Long
}
