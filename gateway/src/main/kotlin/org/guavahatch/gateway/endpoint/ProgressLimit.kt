package org.guavahatch.gateway.endpoint

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.util.ReferenceCountUtil

/**
 * Bounds what an endpoint may send without coming further in its answer, whatever a decoder makes of it: blank lines,
 * interim answers, answers to other requests, a body, an event. Stands before the decoder.
 *
 * @property maximumBytes bytes between two steps of an answer
 */
internal class ProgressLimit(private val maximumBytes: Long) : ChannelInboundHandlerAdapter() {
    private var bytes = 0L

    /** Notes that a request is out, or that its answer has come further. */
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
