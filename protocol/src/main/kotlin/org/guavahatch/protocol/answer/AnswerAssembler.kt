package org.guavahatch.protocol.answer

import org.guavahatch.protocol.message.AnswerChunk
import org.guavahatch.protocol.message.AnswerEnd
import org.guavahatch.protocol.message.AnswerHead
import org.guavahatch.protocol.message.AnswerMessage

/** The result of passing a frame to an [AnswerAssembler]. */
public sealed interface AssemblyResult {
    /** The head of the answer. */
    public data class Head(val status: Int, val contentType: String) : AssemblyResult

    /** The next part of the body. Each byte of the body is delivered exactly once and in order. */
    public class BodyPart(public val bytes: ByteArray, public val tokens: Int) : AssemblyResult

    /** The answer is complete. Its length and checksum match those of the body. */
    public data class Complete(val end: AnswerEnd) : AssemblyResult

    /** The frame contains nothing new or belongs to another attempt. */
    public data object Ignored : AssemblyResult

    /** Frames are missing, or the length or checksum in the end frame does not match the body. */
    public data class Broken(val detail: String) : AssemblyResult
}

/**
 * Assembles the answer of one attempt from frames that may be repeated or out of order.
 *
 * @param attempt number of the attempt; frames of other attempts are ignored
 */
public class AnswerAssembler(private val attempt: Int) {
    private val received = BodyChecksum()
    private var isComplete = false

    /** Number of body bytes received so far. */
    public val offset: Long get() = received.length

    /** Whether the head has been received. */
    public var hasHead: Boolean = false
        private set

    /** Processes the next frame. */
    public fun accept(message: AnswerMessage): AssemblyResult = when {
        message.attempt != attempt || isComplete -> AssemblyResult.Ignored
        message is AnswerHead -> acceptHead(message)
        message is AnswerChunk -> acceptChunk(message)
        message is AnswerEnd -> acceptEnd(message)
        else -> AssemblyResult.Ignored
    }

    private fun acceptHead(head: AnswerHead): AssemblyResult {
        if (hasHead) return AssemblyResult.Ignored
        hasHead = true
        return AssemblyResult.Head(head.status, head.contentType)
    }

    private fun acceptChunk(chunk: AnswerChunk): AssemblyResult {
        val end = chunk.offset + chunk.bytes.size
        return when {
            !hasHead -> AssemblyResult.Broken("a part of the body arrived before the head")
            chunk.offset > received.length -> AssemblyResult.Broken(
                "bytes ${received.length} to ${chunk.offset} are missing",
            )
            end <= received.length -> AssemblyResult.Ignored
            else -> append(chunk)
        }
    }

    private fun append(chunk: AnswerChunk): AssemblyResult {
        val overlap = (received.length - chunk.offset).toInt()
        val bytes = if (overlap == 0) chunk.bytes else chunk.bytes.copyOfRange(overlap, chunk.bytes.size)
        received.add(bytes)
        return AssemblyResult.BodyPart(bytes, chunk.tokens)
    }

    private fun acceptEnd(end: AnswerEnd): AssemblyResult = when {
        !hasHead -> AssemblyResult.Broken("the end arrived before the head")
        end.length != received.length -> AssemblyResult.Broken("the body has ${received.length} of ${end.length} bytes")
        end.checksum != received.value -> AssemblyResult.Broken("the checksum of the body does not match")
        else -> AssemblyResult.Complete(end).also { isComplete = true }
    }
}
