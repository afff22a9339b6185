package org.guavahatch.gateway.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import org.guavahatch.gateway.SocketAddresses
import org.guavahatch.model.time.Clock
import java.util.concurrent.TimeUnit

/** Accepts callers' connections. */
class CallerServer(private val loop: EventLoopGroup, private val intake: RequestIntake, private val clock: Clock) {
    private val connections = HashSet<CallerConnection>()
    private var listener: Channel? = null

    /** Open connections of callers. */
    val openConnections: Int get() = connections.size

    /** Listens on [address]. */
    fun start(address: String) {
        val bootstrap = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = prepare(channel)
            })
        listener = bootstrap.bind(SocketAddresses.parse(address)).sync().channel()
        loop.scheduleAtFixedRate({ sweep() }, SWEEP_MILLISECONDS, SWEEP_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** Accepts no further connections. */
    fun stopListening() {
        listener?.close()
    }

    private fun prepare(channel: SocketChannel) {
        val connection = CallerConnection(intake, clock)
        connections.add(connection)
        channel.closeFuture().addListener { connections.remove(connection) }
        val headerBytes = intake.limits.maximumHeaderBytes
        channel.pipeline().addLast(HttpServerCodec(headerBytes, headerBytes, CHUNK_BYTES), connection)
    }

    private fun sweep() {
        connections.toList().forEach { it.closeIfIdle(isStopping = false) }
    }

    /** Closes connections that have no request. */
    fun closeIdle() {
        connections.toList().forEach { it.closeIfIdle(isStopping = true) }
    }

    private companion object {
        /** Connections that wait to be accepted; a full queue makes callers try again after seconds. */
        const val BACKLOG = 1_024
        const val CHUNK_BYTES = 16_384
        const val SWEEP_MILLISECONDS = 500L
    }
}
