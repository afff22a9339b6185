package org.guavahatch.gateway.control

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
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
import io.netty.handler.codec.http.QueryStringDecoder
import org.guavahatch.gateway.SocketAddresses

/**
 * Response of the control interface.
 *
 * @property status HTTP status
 * @property body response body
 */
class ControlResponse(val status: Int, val body: ByteArray = ByteArray(0))

/** Handles requests that may wait for their response. */
fun interface ControlCallHandler {
    /** Called on the event loop with the [parameters] of the query; [call] gets the response now or later. */
    fun handle(parameters: Map<String, String>, call: ControlCall)
}

/** A request that waits for its response. */
interface ControlCall {
    /** Called once if the connection ends before the response. */
    var onClosed: () -> Unit

    /** Responds with [status] and a body that consists of [parts], which are not copied. */
    fun respond(status: Int, vararg parts: ByteArray)
}

/**
 * HTTP server for readiness, metrics, the configuration in force, and calls that wait.
 *
 * @property handlers handler of each path
 * @property callHandlers handler of each path whose requests may wait
 */
class ControlServer(
    private val loop: EventLoopGroup,
    private val handlers: Map<String, () -> ControlResponse>,
    private val callHandlers: Map<String, ControlCallHandler> = emptyMap(),
) {
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
        private var waiting: Call? = null

        override fun channelRead0(context: ChannelHandlerContext, request: HttpRequest) {
            // Requests behind one that waits would be answered out of order.
            if (waiting != null) {
                context.close()
                return
            }
            val path = request.uri().substringBefore('?')
            val isKeepAlive = HttpUtil.isKeepAlive(request)
            val callHandler = callHandlers[path]
            if (callHandler == null) {
                val result = handlers[path]?.invoke() ?: ControlResponse(NOT_FOUND)
                return write(context, isKeepAlive, result.status, Unpooled.wrappedBuffer(result.body))
            }
            val call = Call(context, isKeepAlive).also { waiting = it }
            callHandler.handle(QueryStringDecoder(request.uri()).parameters().mapValues { it.value.first() }, call)
        }

        private fun write(context: ChannelHandlerContext, isKeepAlive: Boolean, status: Int, body: ByteBuf) {
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            val written = context.writeAndFlush(response)
            if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            val call = waiting
            waiting = null
            call?.onClosed?.invoke()
            context.fireChannelInactive()
        }

        override fun exceptionCaught(context: ChannelHandlerContext, exception: Throwable) {
            // The client reset the connection: there is nobody to respond to.
            context.close()
        }

        private inner class Call(private val context: ChannelHandlerContext, private val isKeepAlive: Boolean) :
            ControlCall {
            override var onClosed: () -> Unit = {}

            override fun respond(status: Int, vararg parts: ByteArray) {
                if (waiting !== this) return
                waiting = null
                write(context, isKeepAlive, status, Unpooled.wrappedBuffer(*parts))
            }
        }
    }

    private companion object {
        const val NOT_FOUND = 404
    }
}
