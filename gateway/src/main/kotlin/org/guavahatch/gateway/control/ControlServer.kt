package org.guavahatch.gateway.control

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.guavahatch.gateway.SocketAddresses

/**
 * Response of the control interface.
 *
 * @property status HTTP status
 * @property body response body
 */
class ControlResponse(val status: Int, val body: ByteArray = ByteArray(0))

/**
 * HTTP server for readiness, metrics and the configuration in force.
 *
 * @property handlers handler of each path
 */
class ControlServer(private val loop: EventLoopGroup, private val handlers: Map<String, () -> ControlResponse>) {
    /** Listens on [address]. */
    fun start(address: String) {
        val bootstrap = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(HttpServerCodec(), Handler())
                }
            })
        bootstrap.bind(SocketAddresses.parse(address)).sync()
    }

    private inner class Handler : SimpleChannelInboundHandler<HttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: HttpRequest) {
            val result = handlers[request.uri().substringBefore('?')]?.invoke() ?: ControlResponse(NOT_FOUND)
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(result.status),
                Unpooled.wrappedBuffer(result.body),
            )
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, result.body.size)
            val isKeepAlive = HttpUtil.isKeepAlive(request)
            if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            val written = context.writeAndFlush(response)
            if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun exceptionCaught(context: ChannelHandlerContext, exception: Throwable) {
            // The client reset the connection: there is nobody to respond to.
            context.close()
        }
    }

    private companion object {
        const val NOT_FOUND = 404
    }
}
