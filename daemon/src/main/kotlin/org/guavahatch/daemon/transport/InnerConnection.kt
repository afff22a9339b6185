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

/** A connection to another process, over which messages go both ways. */
internal class InnerConnection(private val socket: Socket, private val clock: Clock) {
    private val input = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
    private val outgoing = Channel<Message>(MAXIMUM_QUEUED_MESSAGES)

    /** Address of the other side. */
    val peer: String = socket.remoteAddress.toString()

    @Volatile
    private var lastReceivedMilliseconds = clock.monotonicMilliseconds()

    /** Queues [message]. A connection whose queue is full is closed: the other side does not read. */
    fun send(message: Message) {
        val result = outgoing.trySend(message)
        if (result.isFailure && !result.isClosed) close()
    }

    /** The next message, or why there is none. */
    suspend fun receive(step: String): Either<ConnectionError, Message> {
        val payload = try {
            readPayload() ?: return ConnectionError.Malformed(step, peer, "The frame's length is out of range.").left()
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
            // The reader of the connection sees the same failure and reports it.
            close()
        }
    }

    private suspend fun write(message: Message) {
        val payload = MessageCodec.encode(message)
        output.writeInt(payload.size)
        output.writeFully(payload)
    }

    /**
     * Sends what [heartbeat] gives every [periodMilliseconds], and closes the connection when nothing was received for
     * [silenceMilliseconds]. Time in which this process itself did not run does not count as silence of the other side.
     */
    suspend fun keepAlive(periodMilliseconds: Long, silenceMilliseconds: Long, heartbeat: () -> List<Message>) {
        var last = clock.monotonicMilliseconds()
        while (true) {
            heartbeat().forEach(::send)
            delay(periodMilliseconds)
            val now = clock.monotonicMilliseconds()
            val wasFrozen = now - last > silenceMilliseconds / 2 + periodMilliseconds
            if (wasFrozen) lastReceivedMilliseconds = now
            last = now
            if (now - lastReceivedMilliseconds > silenceMilliseconds) close()
        }
    }

    /** Closes the connection; harmless if it is closed already. */
    fun close() {
        outgoing.close()
        socket.close()
    }

    private companion object {
        const val MAXIMUM_QUEUED_MESSAGES = 100_000
    }
}
