package org.guavahatch.gateway.endpoint

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent

/**
 * Tells whether an endpoint has ended its side of a connection in order (TCP FIN), which ends a response without a
 * length (RFC 9112, section 6.3). A reset, a failed write, a timeout and a close of our own do not.
 *
 * Needs `ChannelOption.ALLOW_HALF_CLOSURE`, and must precede the decoder in the pipeline: the decoder reports the end
 * of a response for any end of the connection.
 */
internal class EndpointInput : ChannelInboundHandlerAdapter() {
    private var hasFailed = false

    /** Whether the endpoint has ended its side in order. */
    var hasEndedInOrder = false
        private set

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent && !hasFailed) hasEndedInOrder = true
        context.fireUserEventTriggered(event)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, exception: Throwable) {
        hasFailed = true
        context.fireExceptionCaught(exception)
    }
}
