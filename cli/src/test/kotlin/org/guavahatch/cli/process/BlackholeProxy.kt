package org.guavahatch.cli.process

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** The direction of a connection in which data is discarded. */
internal enum class BlackholedDirection(val dropsToServer: Boolean, val dropsToClient: Boolean) {
    TO_SERVER(true, false),
    TO_CLIENT(false, true),
    BOTH(true, true),
}

/**
 * Forwards connections to [port]. [blackhole] makes the established connections discard data without closing them; new
 * connections are not affected.
 */
internal class BlackholeProxy(private val port: Int) : AutoCloseable {
    private class ProxiedConnection(val client: Socket, val server: Socket) {
        @Volatile
        var blackholedDirection: BlackholedDirection? = null
    }

    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<ProxiedConnection>()

    val listedPort: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { acceptConnections() }
    }

    /** Discards data in [direction] on all established connections. */
    fun blackhole(direction: BlackholedDirection) = connections.forEach { it.blackholedDirection = direction }

    private fun acceptConnections() {
        try {
            while (true) connect(listener.accept())
        } catch (_: IOException) {
            // The proxy was closed.
        }
    }

    private fun connect(client: Socket) {
        val server = try {
            Socket(InetAddress.getLoopbackAddress(), port)
        } catch (_: IOException) {
            client.close()
            return
        }
        val connection = ProxiedConnection(client, server)
        connections += connection
        thread(isDaemon = true) { forward(client, server) { connection.blackholedDirection?.dropsToServer == true } }
        thread(isDaemon = true) { forward(server, client) { connection.blackholedDirection?.dropsToClient == true } }
    }

    private fun forward(source: Socket, destination: Socket, discardsData: () -> Boolean) {
        val buffer = ByteArray(65_536)
        try {
            while (true) {
                val count = source.getInputStream().read(buffer)
                if (count < 0) break
                if (!discardsData()) destination.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One side closed the connection.
        }
        if (!discardsData()) destination.close()
    }

    override fun close() {
        listener.close()
        connections.forEach {
            it.client.close()
            it.server.close()
        }
    }
}
