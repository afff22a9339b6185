package org.guavahatch.daemon.sidecar

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import org.guavahatch.daemon.transport.InnerConnection
import org.guavahatch.protocol.answer.BodyChecksum
import org.guavahatch.protocol.message.AnswerChunk
import org.guavahatch.protocol.message.AnswerEnd
import org.guavahatch.protocol.message.AnswerFailed
import org.guavahatch.protocol.message.AnswerHead
import org.guavahatch.protocol.message.AnswerMessage
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.protocol.message.Grant

/**
 * The answer of one attempt as far as its entry instance has not acknowledged it. Frames go to the connection that the
 * log is attached to; when that is replaced, the frames that were not acknowledged are sent again.
 *
 * @property windowBytes bytes that are held before [awaitRoom] suspends
 */
internal class AnswerLog(
    private val grant: Grant,
    private var connection: InnerConnection?,
    private val windowBytes: Int,
) {
    private val requestId = grant.requestId
    private val attempt = grant.attempt
    private val checksum = BodyChecksum()
    private val chunks = ArrayDeque<AnswerChunk>()
    private var head: AnswerHead? = null
    private var end: AnswerMessage? = null
    private val heldBytes = MutableStateFlow(0)

    /** Generated tokens so far. */
    var tokens = 0
        private set

    /** Suspends while the window is full. */
    suspend fun awaitRoom() {
        heldBytes.first { it < windowBytes }
    }

    @Synchronized
    fun head(status: Int, contentType: String) {
        val frame = AnswerHead(requestId, attempt, status, contentType)
        head = frame
        connection?.send(frame)
    }

    /** Adds [bytes] to the body, which contain [newTokens] generated tokens. */
    @Synchronized
    fun body(bytes: ByteArray, newTokens: Int) {
        val offset = checksum.length
        checksum.add(bytes)
        tokens += newTokens
        val frame = AnswerChunk(requestId, attempt, offset, tokens, bytes)
        chunks.addLast(frame)
        heldBytes.value += bytes.size
        connection?.send(frame)
    }

    @Synchronized
    fun whole(promptTokens: Int) {
        finish(AnswerEnd(requestId, attempt, checksum.length, checksum.value, promptTokens, tokens))
    }

    @Synchronized
    fun failed(reason: FailureReason) {
        finish(AnswerFailed(requestId, attempt, reason))
    }

    private fun finish(frame: AnswerMessage) {
        end = frame
        connection?.send(frame)
    }

    /** Sends what follows [offset] on [next], and further frames too. */
    @Synchronized
    fun attach(next: InnerConnection, offset: Long, hasHead: Boolean) {
        connection = next
        if (!hasHead) head?.let(next::send)
        chunks.filter { it.offset + it.bytes.size > offset }.forEach(next::send)
        end?.let(next::send)
    }

    /** Drops what the entry instance has. */
    @Synchronized
    fun acknowledge(offset: Long) {
        while (chunks.isNotEmpty() && chunks.first().let { it.offset + it.bytes.size } <= offset) {
            heldBytes.value -= chunks.removeFirst().bytes.size
        }
    }
}
