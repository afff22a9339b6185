package org.guavahatch.daemon.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeStringUtf8
import org.guavahatch.coordination.claim.RecordedAnswer
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.model.outcome.Outcome
import java.io.ByteArrayOutputStream

/** Thrown when an answer ends early, to close the caller's connection without terminating the body properly. */
internal class AnswerBrokenException(requestId: String) :
    Exception("The answer to request $requestId ended before it was complete.")

/**
 * Writes the answer to one caller from the events of its exchange. An answer that is not an event stream is buffered
 * until it is complete, up to [MAXIMUM_BUFFERED_BYTES]. An event stream is forwarded as it arrives, except for its last
 * event, which is delayed until the answer is known to be complete.
 */
internal class CallerResponder(private val call: ApplicationCall, private val exchange: Exchange) {
    private val buffer = ByteArrayOutputStream()
    private var head: ExchangeEvent.Head? = null

    /** Answers the caller and returns the outcome that was reported to it. */
    suspend fun send(): Outcome {
        call.response.header(CallerHeaders.REQUEST_ID, exchange.requestId.toString())
        call.response.header(CallerHeaders.CONFIGURATION, exchange.request.version.number.toString())
        while (true) {
            when (val event = exchange.events.receive()) {
                is ExchangeEvent.Restarted -> restart()
                is ExchangeEvent.Head -> head = event
                is ExchangeEvent.Body -> append(event)
                is ExchangeEvent.Replay -> return replay(event.answer)
                is ExchangeEvent.Concluded -> return conclude(event.outcome)
            }
            val currentHead = head
            val mustStream =
                buffer.size() > MAXIMUM_BUFFERED_BYTES || (buffer.size() > 0 && isEventStream(currentHead))
            if (currentHead != null && mustStream) return stream(currentHead)
        }
    }

    private fun isEventStream(head: ExchangeEvent.Head?): Boolean =
        head != null && head.status == HttpStatusCode.OK.value && head.contentType.startsWith(EVENT_STREAM)

    private fun restart() {
        head = null
        buffer.reset()
    }

    private fun append(body: ExchangeEvent.Body) {
        buffer.write(body.bytes)
        exchange.onConsumed(body.bytes.size)
    }

    private suspend fun replay(answer: RecordedAnswer): Outcome {
        call.response.header(CallerHeaders.REPLAYED, "true")
        setOutcomeHeaders(Outcome.Answered)
        val body = answer.body.orEmpty()
        call.respondText(body, contentType(answer.contentType), HttpStatusCode.fromValue(answer.status))
        return Outcome.Answered
    }

    private suspend fun conclude(outcome: Outcome): Outcome {
        setOutcomeHeaders(outcome)
        val completeHead = head
        when (outcome) {
            Outcome.Answered -> respondComplete(checkNotNull(completeHead) { "A complete answer must have a head." })
            is Outcome.NotRun -> respondNotRun(outcome)
            is Outcome.Unknown -> CallerErrors.respond(
                call,
                HttpStatusCode.GatewayTimeout,
                "unknown-${outcome.reason.code}",
                "Whether the request was run is not known: ${outcome.reason.code}.",
            )
        }
        return outcome
    }

    private suspend fun respondComplete(head: ExchangeEvent.Head) {
        exchange.hasDelivered = true
        call.respondBytes(buffer.toByteArray(), contentType(head.contentType), HttpStatusCode.fromValue(head.status))
    }

    private suspend fun respondNotRun(outcome: Outcome.NotRun) {
        val seconds = (outcome.retryAfterMilliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND
        call.response.header(HttpHeaders.RetryAfter, seconds.toString())
        val status = when (outcome.reason) {
            NotRunReason.ACCOUNT_LIMIT -> HttpStatusCode.TooManyRequests
            else -> HttpStatusCode.ServiceUnavailable
        }
        val message = "The request was not run: ${outcome.reason.code}."
        CallerErrors.respond(call, status, "not-run-${outcome.reason.code}", message)
    }

    private fun setOutcomeHeaders(outcome: Outcome) {
        call.response.header(CallerHeaders.OUTCOME, outcome.code)
        when (outcome) {
            Outcome.Answered -> Unit
            is Outcome.NotRun -> call.response.header(CallerHeaders.REASON, outcome.reason.code)
            is Outcome.Unknown -> call.response.header(CallerHeaders.REASON, outcome.reason.code)
        }
    }

    private fun contentType(text: String): ContentType =
        if (text.isEmpty()) ContentType.Application.OctetStream else ContentType.parse(text)

    /**
     * Forwards the answer as it arrives. The outcome is not known when the headers are sent, so the end of the body
     * indicates it.
     */
    private suspend fun stream(head: ExchangeEvent.Head): Outcome {
        exchange.hasDelivered = true
        call.response.header(CallerHeaders.OUTCOME, STREAMED_OUTCOME)
        var outcome: Outcome? = null
        call.respondBytesWriter(contentType(head.contentType), HttpStatusCode.fromValue(head.status)) {
            outcome = writeStream(this, isEventStream(head))
        }
        return checkNotNull(outcome) { "A streamed answer must end with an outcome." }
    }

    private suspend fun writeStream(output: ByteWriteChannel, isEventStream: Boolean): Outcome {
        val tailBuffer = AnswerTailBuffer(isEventStream)
        write(output, tailBuffer.accept(buffer.toByteArray()))
        while (true) {
            when (val event = exchange.events.receive()) {
                is ExchangeEvent.Body -> {
                    write(output, tailBuffer.accept(event.bytes))
                    exchange.onConsumed(event.bytes.size)
                }
                is ExchangeEvent.Concluded -> return finishStream(output, event.outcome, tailBuffer, isEventStream)
                is ExchangeEvent.Restarted -> throw AnswerBrokenException(exchange.requestId.toString())
                else -> Unit
            }
        }
    }

    private suspend fun write(output: ByteWriteChannel, bytes: ByteArray) {
        if (bytes.isEmpty()) return
        output.writeFully(bytes)
        output.flush()
    }

    private suspend fun finishStream(
        output: ByteWriteChannel,
        outcome: Outcome,
        tailBuffer: AnswerTailBuffer,
        isEventStream: Boolean,
    ): Outcome {
        if (outcome == Outcome.Answered) {
            write(output, tailBuffer.remainder())
            return outcome
        }
        if (!isEventStream) throw AnswerBrokenException(exchange.requestId.toString())
        val code = (outcome as? Outcome.Unknown)?.reason?.code.orEmpty()
        output.writeStringUtf8(
            "event: error\ndata: ${CallerErrors.toJson("unknown-$code", INCOMPLETE_STREAM_MESSAGE)}\n\n",
        )
        output.flush()
        return outcome
    }

    private companion object {
        const val MAXIMUM_BUFFERED_BYTES = 262_144
        const val EVENT_STREAM = "text/event-stream"
        const val STREAMED_OUTCOME = "streamed"
        const val INCOMPLETE_STREAM_MESSAGE =
            "The stream could not be finished; what was received is not the whole answer."
        const val MILLISECONDS_PER_SECOND = 1000L
    }
}
