package org.guavahatch.daemon.entry

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import org.guavahatch.coordination.claim.RecordedAnswer
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.protocol.answer.AnswerAssembler
import org.guavahatch.protocol.answer.Assembly
import org.guavahatch.protocol.message.Acknowledge
import org.guavahatch.protocol.message.AnswerMessage
import org.guavahatch.protocol.message.Attach
import org.guavahatch.protocol.message.Message
import java.io.ByteArrayOutputStream

/** What happens to a request, for the code that answers its caller. */
internal sealed interface ExchangeEvent {
    /** A new attempt begins, and what came of the last one is void. Streams that continue do not have this event. */
    data object Restarted : ExchangeEvent

    /** The head of the answer. */
    data class Head(val status: Int, val contentType: String) : ExchangeEvent

    /** A part of the body. */
    class Body(val bytes: ByteArray) : ExchangeEvent

    /** An answer that was recorded for an earlier attempt. */
    data class Replay(val answer: RecordedAnswer) : ExchangeEvent

    /** The end. Nothing follows. */
    data class Concluded(val outcome: Outcome) : ExchangeEvent
}

/** What a frame means for the control state. */
internal enum class FrameVerdict {
    /** Nothing. */
    NOTED,

    /** The frame was dropped: it repeats another, or belongs to another attempt. */
    DROPPED,

    /** The answer is whole. */
    WHOLE,

    /** The frames do not fit together. */
    BROKEN,
}

/**
 * A request between its caller and its endpoint. Frames come from connections, events go to the caller's coroutine;
 * safe for use by several threads.
 */
internal class Exchange(val requestId: RequestId, val plan: RequestPlan, val acceptedMilliseconds: Long) {
    private val channel = Channel<ExchangeEvent>(Channel.UNLIMITED)
    private var assembler = AnswerAssembler(NO_ATTEMPT)
    private var attempt = NO_ATTEMPT
    private var endpoint: EndpointId? = null
    private var sender: (Message) -> Unit = {}
    private var tokensBeforeAttempt = 0
    private var tokens = 0
    private var hasHead = false
    private var recordStatus = 0
    private var recordContentType = ""
    private val recordBody = ByteArrayOutputStream()
    private var consumedBytes = 0L
    private var acknowledgedBytes = 0L

    /** Output tokens of the whole answer, as far as they came. */
    val outputTokens: Int @Synchronized get() = tokens

    /** Whether anything was handed to the caller. Set by the caller's coroutine. */
    @Volatile
    var hasDelivered = false

    /** What happens, in order. */
    val events: ReceiveChannel<ExchangeEvent> get() = channel

    /**
     * Prepares for the answer of [newAttempt] from [target]; [send] reaches its sidecar.
     *
     * @return tokens of the answer that the caller has already, after which the endpoint has to continue
     */
    @Synchronized
    fun beginAttempt(newAttempt: Int, target: EndpointId, send: (Message) -> Unit): Int {
        val isContinued = hasHead && plan.isStream
        attempt = newAttempt
        endpoint = target
        sender = send
        assembler = AnswerAssembler(newAttempt)
        tokensBeforeAttempt = if (isContinued) tokens else 0
        tokens = tokensBeforeAttempt
        consumedBytes = 0
        acknowledgedBytes = 0
        recordBody.reset()
        if (!isContinued && newAttempt > FIRST_ATTEMPT) {
            hasHead = false
            channel.trySend(ExchangeEvent.Restarted)
        }
        return tokensBeforeAttempt
    }

    /** Takes a frame that [from]'s sidecar sent. */
    @Synchronized
    fun accept(from: EndpointId, message: AnswerMessage): FrameVerdict {
        if (from != endpoint) return FrameVerdict.DROPPED
        return when (val assembly = assembler.accept(message)) {
            is Assembly.Head -> acceptHead(assembly)
            is Assembly.Body -> acceptBody(assembly)
            is Assembly.Whole -> {
                sender(Acknowledge(requestId, attempt, assembler.offset, isFinal = true))
                FrameVerdict.WHOLE
            }
            is Assembly.Broken -> FrameVerdict.BROKEN
            Assembly.Ignored -> FrameVerdict.DROPPED
        }
    }

    private fun acceptHead(head: Assembly.Head): FrameVerdict {
        // A continued stream has its head already; an endpoint that cannot continue it answers with another status.
        if (hasHead) return if (head.status == STATUS_OK) FrameVerdict.NOTED else FrameVerdict.BROKEN
        hasHead = true
        recordStatus = head.status
        recordContentType = head.contentType
        channel.trySend(ExchangeEvent.Head(head.status, head.contentType))
        return FrameVerdict.NOTED
    }

    private fun acceptBody(body: Assembly.Body): FrameVerdict {
        tokens = tokensBeforeAttempt + body.tokens
        if (plan.needsClaim && recordBody.size() + body.bytes.size <= LARGEST_RECORD_BYTES) recordBody.write(body.bytes)
        channel.trySend(ExchangeEvent.Body(body.bytes))
        return FrameVerdict.NOTED
    }

    /** The caller's coroutine has dealt with [bytes] of the body. */
    @Synchronized
    fun onConsumed(bytes: Int) {
        consumedBytes = minOf(consumedBytes + bytes, assembler.offset)
        if (consumedBytes - acknowledgedBytes < ACKNOWLEDGE_BYTES) return
        acknowledgedBytes = consumedBytes
        sender(Acknowledge(requestId, attempt, consumedBytes, isFinal = false))
    }

    /** The message that asks for the rest of the present attempt's answer; later messages go through [send]. */
    @Synchronized
    fun reattach(send: (Message) -> Unit): Attach {
        sender = send
        return Attach(requestId, attempt, assembler.offset, assembler.hasHead)
    }

    /** The answer for the record of the claim; its body is left out if it is too large. */
    @Synchronized
    fun record(): RecordedAnswer {
        val isComplete = recordBody.size().toLong() == assembler.offset
        val body = if (isComplete) recordBody.toByteArray().decodeToString() else null
        return RecordedAnswer(recordStatus, recordContentType, body)
    }

    /** Answers the caller with what was recorded for an earlier attempt. */
    fun replay(answer: RecordedAnswer) {
        channel.trySend(ExchangeEvent.Replay(answer))
    }

    /** Tells the caller's coroutine the end. */
    fun conclude(outcome: Outcome) {
        channel.trySend(ExchangeEvent.Concluded(outcome))
        channel.close()
    }

    private companion object {
        const val NO_ATTEMPT = 0
        const val FIRST_ATTEMPT = 1
        const val STATUS_OK = 200
        const val LARGEST_RECORD_BYTES = 65_536
        const val ACKNOWLEDGE_BYTES = 65_536
    }
}
