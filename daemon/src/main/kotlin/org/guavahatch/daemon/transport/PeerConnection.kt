package org.guavahatch.daemon.transport

import arrow.core.Either
import arrow.core.left
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.guavahatch.model.time.Clock
import org.guavahatch.protocol.frame.MessageCodec
import org.guavahatch.protocol.message.Message

/** A bidirectional message connection to another process. */
internal class PeerConnection(private val socket: Socket, private val clock: Clock) {
    private val input = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
    private val outgoing = Channel<Message>(MAXIMUM_QUEUED_MESSAGES)

    /** Address of the peer. */
    val peer: String = socket.remoteAddress.toString()

    @Volatile
    private var lastReceivedMilliseconds = clock.monotonicMilliseconds()

    /** Queues [message]. Closes the connection if the queue is full, because the peer has stopped reading. */
    fun send(message: Message) {
        val result = outgoing.trySend(message)
        if (result.isFailure && !result.isClosed) close()
    }

    /** Receives the next message. [step] names the operation in a [ConnectionError]. */
    suspend fun receive(step: String): Either<ConnectionError, Message> {
        val payload = try {
            readPayload() ?: return ConnectionError.Malformed(step, peer, "The frame length is out of range.").left()
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            return ConnectionError.Closed(step, peer, "The connection ended: $exception.").left()
        }
        lastReceivedMilliseconds = clock.monotonicMilliseconds()
        return MessageCodec.decode(payload).mapLeft { ConnectionError.Malformed(step, peer, it.detail) }
    }

    private suspend fun readPayload(): ByteArray? {
        val length = input.readInt()
        if (length !in 1..MessageCodec.MAXIMUM_PAYLOAD_BYTES) return null
        return input.readByteArray(length)
    }

    /** Writes queued messages until the connection is closed. */
    suspend fun writeQueued() {
        try {
            for (message in outgoing) {
                write(message)
                while (true) write(outgoing.tryReceive().getOrNull() ?: break)
                output.flush()
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            // The coroutine that reads from the connection gets an error too and reports it.
            close()
        }
    }

    private suspend fun write(message: Message) {
        val payload = MessageCodec.encode(message)
        output.writeInt(payload.size)
        output.writeFully(payload)
    }

    /**
     * Sends the messages of [heartbeat] every [periodMilliseconds]. Closes the connection if nothing was received for
     * [silenceMilliseconds], not counting time in which this process itself was suspended.
     */
    suspend fun keepAlive(periodMilliseconds: Long, silenceMilliseconds: Long, heartbeat: () -> List<Message>) {
        var lastHeartbeat = clock.monotonicMilliseconds()
        while (true) {
            heartbeat().forEach(::send)
            delay(periodMilliseconds)
            val now = clock.monotonicMilliseconds()
            val wasSuspended = now - lastHeartbeat > silenceMilliseconds / 2 + periodMilliseconds
            if (wasSuspended) lastReceivedMilliseconds = now
            lastHeartbeat = now
            if (now - lastReceivedMilliseconds > silenceMilliseconds) close()
        }
    }

    /** Closes the connection. Has no effect if it is already closed. */
    fun close() {
        outgoing.close()
        socket.close()
    }

    private companion object {
        const val MAXIMUM_QUEUED_MESSAGES = 100_000
    }
}
