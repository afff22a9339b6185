package org.guavahatch.protocol.frame

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.guavahatch.protocol.message.Message

/**
 * Bytes that are no message.
 *
 * @property detail what the codec found, as a sentence
 */
public data class MalformedFrame(public val detail: String)

/** Turns messages into the payload of frames and back. A frame is a length of four bytes, big-endian, and a payload. */
@OptIn(ExperimentalSerializationApi::class)
public object MessageCodec {
    /** Largest payload of a frame in bytes. */
    public const val MAXIMUM_PAYLOAD_BYTES: Int = 9 * 1024 * 1024

    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** The payload for [message]. */
    public fun encode(message: Message): ByteArray = cbor.encodeToByteArray(Message.serializer(), message)

    /** The message in [payload], or what is wrong with it. Never throws, whatever the bytes are. */
    @Suppress("TooGenericExceptionCaught")
    public fun decode(payload: ByteArray): Either<MalformedFrame, Message> = try {
        cbor.decodeFromByteArray(Message.serializer(), payload).right()
    } catch (exception: Exception) {
        // The CBOR decoder signals bad input by several unrelated exception types.
        MalformedFrame("The payload of ${payload.size} bytes is no message: ${exception.message}.").left()
    }
}
