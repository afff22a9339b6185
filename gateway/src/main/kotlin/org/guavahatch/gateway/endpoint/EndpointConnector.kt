package org.guavahatch.gateway.endpoint

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.guavahatch.gateway.SocketAddresses
import org.guavahatch.gateway.http.InspectableSocketChannel
import org.guavahatch.gateway.http.SingleHeadResponseDecoder
import org.guavahatch.model.time.Clock

/**
 * Opens connections to endpoints and keeps idle ones for reuse.
 *
 * @property maximumBytesWithoutProgress bytes that an endpoint may send without progress of its response
 * @property onUnexpectedBytes receives the bytes that belong to no response to a request
 */
class EndpointConnector(
    loop: EventLoopGroup,
    private val clock: Clock,
    private val requestIdHeader: String,
    private val maximumBytesWithoutProgress: Long,
    private val onUnexpectedBytes: (address: String, UnexpectedBytes) -> Unit,
) {
    private var opened = 0L
    private val idleByAddress = HashMap<String, IdleConnections>()
    private val bootstrap = Bootstrap()
        .group(loop)
        .channelFactory { InspectableSocketChannel() }
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES),
        )
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
        .handler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline()
                    .addLast(EndpointInput(), ProgressLimit(maximumBytesWithoutProgress))
                    .addLast(HttpRequestEncoder(), SingleHeadResponseDecoder())
            }
        })

    /**
     * Passes [use] an idle or new connection to [address], or the reason why none could be opened.
     *
     * @param maximumIdleMilliseconds time for which a reused connection may have been idle, or null to open a new one
     * @param excluded numbers of connections that are not reused
     */
    fun connect(
        address: String,
        maximumIdleMilliseconds: Long?,
        excluded: Set<Long> = emptySet(),
        use: (Either<EndpointUnreachable, EndpointConnection>) -> Unit,
    ) {
        val idle = idleByAddress.getOrPut(address) { IdleConnections(clock) }
        val reused = maximumIdleMilliseconds?.let { idle.take(it, excluded) }
        if (reused != null) return use(reused.right())
        bootstrap.connect(SocketAddresses.parse(address)).addListener { future ->
            val channelFuture = future as ChannelFuture
            if (!future.isSuccess) {
                val reason = future.cause().message ?: future.cause().javaClass.simpleName
                return@addListener use(EndpointUnreachable(address, reason).left())
            }
            val channel = channelFuture.channel() as InspectableSocketChannel
            val connection = EndpointConnection(channel, ++opened, requestIdHeader, idle, clock) { bytes ->
                idle.suspendReuse()
                onUnexpectedBytes(address, bytes)
            }
            channel.pipeline().addLast(connection)
            use(connection.right())
        }
    }

    /** Closes the idle connections to [address], and those in use after their request. */
    fun closeIdle(address: String) {
        idleByAddress.remove(address)?.retire()
    }

    private companion object {
        const val MINIMUM_READ_BYTES = 64
        const val INITIAL_READ_BYTES = 2_048

        /** What is under way when reading pauses for a slow caller is at most one read. */
        const val MAXIMUM_READ_BYTES = 16_384

        /**
         * Links within a region take about a millisecond. The limit lies below the second after which a lost first
         * packet is sent again.
         */
        const val CONNECT_TIMEOUT_MILLISECONDS = 300
    }
}

/**
 * No connection to an endpoint could be opened; nothing was sent.
 *
 * @property address address of the endpoint
 * @property reason error message of the system
 */
data class EndpointUnreachable(val address: String, val reason: String)
