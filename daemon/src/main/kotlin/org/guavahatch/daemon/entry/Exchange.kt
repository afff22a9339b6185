package org.guavahatch.daemon.entry

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import org.guavahatch.coordination.claim.RecordedAnswer
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.protocol.answer.AnswerAssembler
import org.guavahatch.protocol.answer.AssemblyResult
import org.guavahatch.protocol.message.Acknowledge
import org.guavahatch.protocol.message.AnswerMessage
import org.guavahatch.protocol.message.Attach
import org.guavahatch.protocol.message.Message
import java.io.ByteArrayOutputStream

/** Event of a request, consumed by the coroutine that answers the caller. */
internal sealed interface ExchangeEvent {
    /** A new attempt starts and the partial answer of the last one is discarded. Not sent for a stream that resumes. */
    data object Restarted : ExchangeEvent

    /** Status and content type of the answer. */
    data class Head(val status: Int, val contentType: String) : ExchangeEvent

    /** A block of the body. */
    class Body(val bytes: ByteArray) : ExchangeEvent

    /** The answer that was recorded for an earlier request with the same idempotency key. */
    data class Replay(val answer: RecordedAnswer) : ExchangeEvent

    /** The final outcome. No event follows. */
    data class Concluded(val outcome: Outcome) : ExchangeEvent
}

/** Result of processing a frame of an answer. */
internal enum class FrameResult {
    /** The frame was accepted and the answer goes on. */
    ACCEPTED,

    /** The frame was dropped because it is a duplicate or belongs to another attempt. */
    DROPPED,

    /** The answer is complete. */
    COMPLETE,

    /** The frame is inconsistent with the earlier ones. */
    INVALID,
}

/**
 * State of one request between its caller and its endpoint. Connections deliver frames; the caller's coroutine consumes
 * events. Thread-safe.
 */
internal class Exchange(val requestId: RequestId, val request: ValidatedRequest, val acceptedAtMilliseconds: Long) {
    private val channel = Channel<ExchangeEvent>(Channel.UNLIMITED)
    private var assembler = AnswerAssembler(NO_ATTEMPT)
    private var attempt = NO_ATTEMPT
    private var endpoint: EndpointId? = null
    private var sendToSidecar: (Message) -> Unit = {}
    private var tokensBeforeAttempt = 0
    private var tokens = 0
    private var hasHead = false
    private var recordedStatus = 0
    private var recordedContentType = ""
    private val recordedBody = ByteArrayOutputStream()
    private var consumedBytes = 0L
    private var acknowledgedBytes = 0L

    /** Output tokens received so far, over all attempts of a resumed stream. */
    val outputTokens: Int @Synchronized get() = tokens

    /** Whether a part of the answer was sent to the caller. Set by the caller's coroutine. */
    @Volatile
    var hasDelivered = false

    /** Events in order. */
    val events: ReceiveChannel<ExchangeEvent> get() = channel

    /**
     * Prepares for the answer of [newAttempt] from [target].
     *
     * @param send sends a message to the sidecar of [target]
     * @return number of tokens that were received already and after which the endpoint has to resume
     */
    @Synchronized
    fun beginAttempt(newAttempt: Int, target: EndpointId, send: (Message) -> Unit): Int {
        val isResumed = hasHead && request.isStream
        attempt = newAttempt
        endpoint = target
        sendToSidecar = send
        assembler = AnswerAssembler(newAttempt)
        tokensBeforeAttempt = if (isResumed) tokens else 0
        tokens = tokensBeforeAttempt
        consumedBytes = 0
        acknowledgedBytes = 0
        recordedBody.reset()
        if (!isResumed && newAttempt > FIRST_ATTEMPT) {
            hasHead = false
            channel.trySend(ExchangeEvent.Restarted)
        }
        return tokensBeforeAttempt
    }

    /** Processes a frame from the sidecar of [from]. */
    @Synchronized
    fun accept(from: EndpointId, message: AnswerMessage): FrameResult {
        if (from != endpoint) return FrameResult.DROPPED
        return when (val result = assembler.accept(message)) {
            is AssemblyResult.Head -> acceptHead(result)
            is AssemblyResult.BodyPart -> acceptBodyPart(result)
            is AssemblyResult.Complete -> {
                sendToSidecar(Acknowledge(requestId, attempt, assembler.offset, isFinal = true))
                FrameResult.COMPLETE
            }
            is AssemblyResult.Broken -> FrameResult.INVALID
            AssemblyResult.Ignored -> FrameResult.DROPPED
        }
    }

    private fun acceptHead(head: AssemblyResult.Head): FrameResult {
        // A resumed stream already has its head. An endpoint that cannot resume it answers with another status.
        if (hasHead) return if (head.status == HTTP_OK) FrameResult.ACCEPTED else FrameResult.INVALID
        hasHead = true
        recordedStatus = head.status
        recordedContentType = head.contentType
        channel.trySend(ExchangeEvent.Head(head.status, head.contentType))
        return FrameResult.ACCEPTED
    }

    private fun acceptBodyPart(part: AssemblyResult.BodyPart): FrameResult {
        tokens = tokensBeforeAttempt + part.tokens
        if (request.needsClaim && recordedBody.size() + part.bytes.size <= MAXIMUM_RECORDED_BODY_BYTES) {
            recordedBody.write(part.bytes)
        }
        channel.trySend(ExchangeEvent.Body(part.bytes))
        return FrameResult.ACCEPTED
    }

    /** Called when the caller's coroutine has processed [bytes] bytes of the body. */
    @Synchronized
    fun onConsumed(bytes: Int) {
        consumedBytes = minOf(consumedBytes + bytes, assembler.offset)
        if (consumedBytes - acknowledgedBytes < ACKNOWLEDGE_INTERVAL_BYTES) return
        acknowledgedBytes = consumedBytes
        sendToSidecar(Acknowledge(requestId, attempt, consumedBytes, isFinal = false))
    }

    /** Returns the message that requests the rest of the current answer. Later messages are sent with [send]. */
    @Synchronized
    fun reattach(send: (Message) -> Unit): Attach {
        sendToSidecar = send
        return Attach(requestId, attempt, assembler.offset, assembler.hasHead)
    }

    /** Returns the answer to record in the claim, without its body if that exceeds [MAXIMUM_RECORDED_BODY_BYTES]. */
    @Synchronized
    fun toRecordedAnswer(): RecordedAnswer {
        val isComplete = recordedBody.size().toLong() == assembler.offset
        val body = if (isComplete) recordedBody.toByteArray().decodeToString() else null
        return RecordedAnswer(recordedStatus, recordedContentType, body)
    }

    /** Answers the caller with the answer that was recorded for an earlier request. */
    fun replay(answer: RecordedAnswer) {
        channel.trySend(ExchangeEvent.Replay(answer))
    }

    /** Reports the final outcome to the caller's coroutine. */
    fun conclude(outcome: Outcome) {
        channel.trySend(ExchangeEvent.Concluded(outcome))
        channel.close()
    }

    private companion object {
        const val NO_ATTEMPT = 0
        const val FIRST_ATTEMPT = 1
        const val HTTP_OK = 200
        const val MAXIMUM_RECORDED_BODY_BYTES = 65_536

        /** Consumed bytes after which an acknowledgement is sent. */
        const val ACKNOWLEDGE_INTERVAL_BYTES = 65_536
    }
}
