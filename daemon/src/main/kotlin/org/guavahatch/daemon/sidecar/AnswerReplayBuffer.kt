package org.guavahatch.daemon.sidecar

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import org.guavahatch.daemon.transport.PeerConnection
import org.guavahatch.protocol.answer.BodyChecksum
import org.guavahatch.protocol.message.AnswerChunk
import org.guavahatch.protocol.message.AnswerEnd
import org.guavahatch.protocol.message.AnswerFailed
import org.guavahatch.protocol.message.AnswerHead
import org.guavahatch.protocol.message.AnswerMessage
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.protocol.message.Grant

/**
 * The answer of one attempt, with the chunks that its entry instance has not acknowledged. Frames are sent on the
 * attached connection. When that connection is replaced, the unacknowledged frames are sent again.
 *
 * @property windowBytes number of unacknowledged bytes from which on [awaitCapacity] suspends
 */
internal class AnswerReplayBuffer(
    private val grant: Grant,
    private var connection: PeerConnection?,
    private val windowBytes: Int,
) {
    private val requestId = grant.requestId
    private val attempt = grant.attempt
    private val checksum = BodyChecksum()
    private val chunks = ArrayDeque<AnswerChunk>()
    private var head: AnswerHead? = null
    private var end: AnswerMessage? = null
    private val unacknowledgedBytes = MutableStateFlow(0)

    /** Number of tokens generated so far. */
    var tokens = 0
        private set

    /** Suspends while the window is full. */
    suspend fun awaitCapacity() {
        unacknowledgedBytes.first { it < windowBytes }
    }

    /** Starts the answer with its [status] and [contentType]. */
    @Synchronized
    fun start(status: Int, contentType: String) {
        val frame = AnswerHead(requestId, attempt, status, contentType)
        head = frame
        connection?.send(frame)
    }

    /** Appends [bytes], which contain [newTokens] generated tokens, to the body. */
    @Synchronized
    fun append(bytes: ByteArray, newTokens: Int) {
        val offset = checksum.length
        checksum.add(bytes)
        tokens += newTokens
        val frame = AnswerChunk(requestId, attempt, offset, tokens, bytes)
        chunks.addLast(frame)
        unacknowledgedBytes.value += bytes.size
        connection?.send(frame)
    }

    /** Ends the answer as complete. */
    @Synchronized
    fun complete(promptTokens: Int) {
        finish(AnswerEnd(requestId, attempt, checksum.length, checksum.value, promptTokens, tokens))
    }

    /** Ends the answer as incomplete, because of [reason]. */
    @Synchronized
    fun fail(reason: FailureReason) {
        finish(AnswerFailed(requestId, attempt, reason))
    }

    private fun finish(frame: AnswerMessage) {
        end = frame
        connection?.send(frame)
    }

    /** Attaches the connection [next] and sends the frames after [offset] on it. */
    @Synchronized
    fun attach(next: PeerConnection, offset: Long, hasHead: Boolean) {
        connection = next
        if (!hasHead) head?.let(next::send)
        chunks.filter { it.offset + it.bytes.size > offset }.forEach(next::send)
        end?.let(next::send)
    }

    /** Drops the chunks up to [offset], which the entry instance has received. */
    @Synchronized
    fun acknowledge(offset: Long) {
        while (chunks.isNotEmpty() && chunks.first().let { it.offset + it.bytes.size } <= offset) {
            unacknowledgedBytes.value -= chunks.removeFirst().bytes.size
        }
    }
}
