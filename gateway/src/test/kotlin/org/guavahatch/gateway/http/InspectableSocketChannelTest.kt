package org.guavahatch.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

class InspectableSocketChannelTest {
    private class Case(val name: String, val expected: String, val write: (Socket) -> Unit)

    private val cases = listOf(
        Case("nothing", "nothing") {},
        Case("a byte", "H") { it.getOutputStream().write('H'.code) },
        Case("a status line", "HTTP/1.1 200 OK\\r\\n") {
            it.getOutputStream().write("HTTP/1.1 200 OK\r\n".toByteArray())
        },
        Case("the end", "end") { it.close() },
        Case("a reset", "end") {
            it.setSoLinger(true, 0)
            it.close()
        },
    )

    @Test
    fun `bytes that the event loop has not read yet are found before a connection is used again`() {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            cases.forEach { case ->
                val channel = Bootstrap().group(group).channelFactory { InspectableSocketChannel() }
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(ChannelInboundHandlerAdapter())
                    .connect(server.localSocketAddress).sync().channel() as InspectableSocketChannel
                val peer = server.accept()
                case.write(peer)
                Thread.sleep(ARRIVAL_MILLISECONDS)
                val arrived = channel.eventLoop().submit<ArrivedInput> { channel.inspect() }.get()
                assertEquals(case.expected, describe(arrived), case.name)
                channel.close().sync()
                peer.close()
            }
        }
        group.shutdownGracefully()
    }

    private fun describe(arrived: ArrivedInput) = when (arrived) {
        is ArrivedInput.Nothing -> "nothing"
        is ArrivedInput.End -> "end"
        is ArrivedInput.Bytes -> arrived.content.excerpt(64)
    }

    private companion object {
        const val ARRIVAL_MILLISECONDS = 50L
    }
}
