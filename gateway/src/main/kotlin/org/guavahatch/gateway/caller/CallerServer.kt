package org.guavahatch.gateway.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import org.guavahatch.gateway.SocketAddresses
import org.guavahatch.model.time.Clock
import java.util.concurrent.TimeUnit

/**
 * Accepts the connections of callers.
 *
 * @property requestIdHeader name of the header with the id of a request
 */
class CallerServer(
    private val loop: EventLoopGroup,
    private val acceptor: RequestAcceptor,
    private val clock: Clock,
    private val requestIdHeader: String,
    private val monitor: UnreadMonitor,
) {
    private val connections = HashSet<CallerConnection>()
    private var listener: Channel? = null

    /** Number of open connections. */
    val openConnections: Int get() = connections.size

    /** Listens on [address]. */
    fun start(address: String) {
        val bootstrap = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = initialize(channel)
            })
        listener = bootstrap.bind(SocketAddresses.parse(address)).sync().channel()
        loop.scheduleAtFixedRate(
            { closeExpired() },
            IDLE_CHECK_MILLISECONDS,
            IDLE_CHECK_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
    }

    /**
     * Stops accepting connections. Those that wait in the backlog are accepted before, since one turn of the event loop
     * accepts all of them; otherwise the system would reset them.
     */
    fun stopListening() {
        listener?.close()
    }

    private fun initialize(channel: SocketChannel) {
        val connection = CallerConnection(acceptor, clock, requestIdHeader, monitor)
        connections.add(connection)
        channel.closeFuture().addListener { connections.remove(connection) }
        val headerBytes = acceptor.limits.maximumHeaderBytes
        channel.pipeline().addLast(HttpServerCodec(headerBytes, headerBytes, MAXIMUM_CHUNK_BYTES), connection)
    }

    private fun closeExpired() {
        connections.toList().forEach { it.closeIfIdle(isStopping = false) }
    }

    /** Closes the connections without a request, but not those on which the first request may be on its way. */
    fun closeIdle() {
        connections.toList().forEach { it.closeIfIdle(isStopping = true) }
    }

    /** Refuses the requests that are not read completely. */
    fun refuseIncomplete() = connections.toList().forEach { it.refuseIncomplete() }

    private companion object {
        /** Connections waiting to be accepted. If the queue is full, callers retry only after seconds. */
        const val BACKLOG = 1_024
        const val MAXIMUM_CHUNK_BYTES = 16_384
        const val IDLE_CHECK_MILLISECONDS = 500L
    }
}
