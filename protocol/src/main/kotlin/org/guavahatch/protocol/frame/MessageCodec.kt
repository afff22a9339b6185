package org.guavahatch.protocol.frame

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.guavahatch.protocol.message.Message

/**
 * A payload that could not be decoded into a message.
 *
 * @property detail description of the error, as a complete sentence
 */
public data class MalformedFrame(public val detail: String)

/**
 * Encodes messages as frame payloads and decodes them. A frame consists of a four-byte big-endian length and the
 * payload.
 */
@OptIn(ExperimentalSerializationApi::class)
public object MessageCodec {
    /** Maximum size of a frame payload in bytes. */
    public const val MAXIMUM_PAYLOAD_BYTES: Int = 9 * 1024 * 1024

    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [message] as a payload. */
    public fun encode(message: Message): ByteArray = cbor.encodeToByteArray(Message.serializer(), message)

    /** Decodes [payload], or returns the reason why it is malformed. Malformed input never causes an exception. */
    @Suppress("TooGenericExceptionCaught")
    public fun decode(payload: ByteArray): Either<MalformedFrame, Message> = try {
        cbor.decodeFromByteArray(Message.serializer(), payload).right()
    } catch (exception: Exception) {
        // The CBOR decoder reports malformed input with several unrelated exception types.
        MalformedFrame("Cannot decode the payload of ${payload.size} bytes: ${exception.message}.").left()
    }
}
