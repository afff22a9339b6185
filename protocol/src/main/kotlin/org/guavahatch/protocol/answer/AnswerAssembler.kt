package org.guavahatch.protocol.answer

import org.guavahatch.protocol.message.AnswerChunk
import org.guavahatch.protocol.message.AnswerEnd
import org.guavahatch.protocol.message.AnswerHead
import org.guavahatch.protocol.message.AnswerMessage

/** What an [AnswerAssembler] makes of a frame. */
public sealed interface Assembly {
    /** The head of the answer. */
    public data class Head(val status: Int, val contentType: String) : Assembly

    /** The next part of the body, each byte once and in order. */
    public class Body(public val bytes: ByteArray, public val tokens: Int) : Assembly

    /** The answer is whole: length and checksum agree. */
    public data class Whole(val end: AnswerEnd) : Assembly

    /** The frame repeats what is there already, or belongs to another attempt. */
    public data object Ignored : Assembly

    /** Frames are missing, or the end does not agree with the body. */
    public data class Broken(val detail: String) : Assembly
}

/**
 * Puts the answer of one attempt together from frames that may be repeated or out of place.
 *
 * @param attempt the attempt whose frames count
 */
public class AnswerAssembler(private val attempt: Int) {
    private val body = BodyChecksum()
    private var isEnded = false

    /** Bytes of the body so far. */
    public val offset: Long get() = body.length

    /** Whether the head has come. */
    public var hasHead: Boolean = false
        private set

    /** Takes the next frame. */
    public fun accept(message: AnswerMessage): Assembly = when {
        message.attempt != attempt || isEnded -> Assembly.Ignored
        message is AnswerHead -> acceptHead(message)
        message is AnswerChunk -> acceptChunk(message)
        message is AnswerEnd -> acceptEnd(message)
        else -> Assembly.Ignored
    }

    private fun acceptHead(head: AnswerHead): Assembly {
        if (hasHead) return Assembly.Ignored
        hasHead = true
        return Assembly.Head(head.status, head.contentType)
    }

    private fun acceptChunk(chunk: AnswerChunk): Assembly {
        val end = chunk.offset + chunk.bytes.size
        return when {
            !hasHead -> Assembly.Broken("a part of the body came before the head")
            chunk.offset > body.length -> Assembly.Broken("bytes ${body.length} to ${chunk.offset} are missing")
            end <= body.length -> Assembly.Ignored
            else -> append(chunk)
        }
    }

    private fun append(chunk: AnswerChunk): Assembly {
        val known = (body.length - chunk.offset).toInt()
        val bytes = if (known == 0) chunk.bytes else chunk.bytes.copyOfRange(known, chunk.bytes.size)
        body.add(bytes)
        return Assembly.Body(bytes, chunk.tokens)
    }

    private fun acceptEnd(end: AnswerEnd): Assembly = when {
        !hasHead -> Assembly.Broken("the end came before the head")
        end.length != body.length -> Assembly.Broken("the body has ${body.length} of ${end.length} bytes")
        end.checksum != body.value -> Assembly.Broken("the checksum of the body does not agree")
        else -> Assembly.Whole(end).also { isEnded = true }
    }
}
