package org.guavahatch.gateway.endpoint

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.util.ReferenceCountUtil

/**
 * Limits the bytes that an endpoint may send without progress of its response, however they are decoded: blank lines,
 * interim responses, responses to other requests, a body, an event. Must precede the decoder in the pipeline.
 *
 * @property maximumBytes bytes between two calls of [noteProgress]
 */
internal class ProgressLimit(private val maximumBytes: Long) : ChannelInboundHandlerAdapter() {
    private var bytes = 0L

    /** Notes that a request is sent or that its response has made progress. */
    fun noteProgress() {
        bytes = 0
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        bytes += (message as ByteBuf).readableBytes()
        if (bytes <= maximumBytes) {
            context.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        context.fireExceptionCaught(TooLongFrameException("more than $maximumBytes bytes without an answer or event"))
    }
}
