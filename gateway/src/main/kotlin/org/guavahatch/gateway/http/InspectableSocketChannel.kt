package org.guavahatch.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.socket.nio.NioSocketChannel
import java.io.IOException
import java.nio.ByteBuffer

/** A connection that tells whether its peer has sent something that was not read yet. */
class InspectableSocketChannel : NioSocketChannel() {
    /**
     * Reads what has arrived meanwhile. Must be called on the event loop, and only if nothing is to arrive: what it
     * reads is not decoded.
     */
    fun inspect(): ArrivedInput {
        val bytes = ByteBuffer.allocate(INSPECTED_BYTES)
        val count = try {
            javaChannel().read(bytes)
        } catch (exception: IOException) {
            return ArrivedInput.End(exception.message ?: exception.javaClass.simpleName)
        }
        return when {
            count == 0 -> ArrivedInput.Nothing
            count < 0 -> ArrivedInput.End("closed by the peer")
            else -> ArrivedInput.Bytes(Unpooled.wrappedBuffer(bytes.flip()))
        }
    }

    private companion object {
        const val INSPECTED_BYTES = 256
    }
}

/** What a peer has sent on a connection on which nothing is to arrive. */
sealed interface ArrivedInput {
    /** Neither bytes nor the end of the connection. */
    data object Nothing : ArrivedInput

    /**
     * The connection has ended.
     *
     * @property reason how it has ended
     */
    data class End(val reason: String) : ArrivedInput

    /**
     * Bytes that belong to no response.
     *
     * @property content the first of them
     */
    data class Bytes(val content: ByteBuf) : ArrivedInput
}
