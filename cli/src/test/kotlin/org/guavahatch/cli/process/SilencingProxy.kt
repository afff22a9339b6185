package org.guavahatch.cli.process

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Which way of a connection is silent. */
internal enum class Silence(val toServer: Boolean, val toClient: Boolean) {
    TO_SERVER(true, false),
    TO_CLIENT(false, true),
    BOTH(true, true),
}

/** Passes connections on to [port]. Connections that are silenced stay open and lose what is sent; new ones work. */
internal class SilencingProxy(private val port: Int) : AutoCloseable {
    private class Pipe(val client: Socket, val server: Socket) {
        @Volatile
        var silence: Silence? = null
    }

    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val pipes = CopyOnWriteArrayList<Pipe>()

    val listedPort: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Silences all present connections. */
    fun silence(how: Silence) = pipes.forEach { it.silence = how }

    private fun accept() {
        try {
            while (true) open(listener.accept())
        } catch (_: IOException) {
            // The proxy was closed.
        }
    }

    private fun open(client: Socket) {
        val server = try {
            Socket(InetAddress.getLoopbackAddress(), port)
        } catch (_: IOException) {
            client.close()
            return
        }
        val pipe = Pipe(client, server)
        pipes += pipe
        thread(isDaemon = true) { copy(client, server) { pipe.silence?.toServer == true } }
        thread(isDaemon = true) { copy(server, client) { pipe.silence?.toClient == true } }
    }

    private fun copy(from: Socket, to: Socket, isSilent: () -> Boolean) {
        val buffer = ByteArray(65_536)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (!isSilent()) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One side has closed the connection.
        }
        if (!isSilent()) to.close()
    }

    override fun close() {
        listener.close()
        pipes.forEach {
            it.client.close()
            it.server.close()
        }
    }
}
