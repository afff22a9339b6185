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

/** The body of an answer that broke off. Thrown to close the caller's connection without a clean end. */
internal class AnswerBrokenException(requestId: String) : Exception("The answer to $requestId broke off.")

/**
 * Answers one caller from the events of its exchange. An answer that is no stream is held until it is whole, up to a
 * limit; a stream is handed on as it comes, but for its last event, which waits until the answer is known to be whole.
 */
internal class CallerAnswer(private val call: ApplicationCall, private val exchange: Exchange) {
    private val held = ByteArrayOutputStream()
    private var head: ExchangeEvent.Head? = null

    /** Answers the caller; returns the outcome that it was told. */
    suspend fun send(): Outcome {
        call.response.header(CallerHeaders.REQUEST_ID, exchange.requestId.toString())
        call.response.header(CallerHeaders.CONFIGURATION, exchange.plan.version.number.toString())
        while (true) {
            when (val event = exchange.events.receive()) {
                is ExchangeEvent.Restarted -> restart()
                is ExchangeEvent.Head -> head = event
                is ExchangeEvent.Body -> hold(event)
                is ExchangeEvent.Replay -> return replay(event.answer)
                is ExchangeEvent.Concluded -> return conclude(event.outcome)
            }
            val present = head
            val mustStream = held.size() > LARGEST_HELD_BYTES || (held.size() > 0 && isEventStream(present))
            if (present != null && mustStream) return stream(present)
        }
    }

    private fun isEventStream(head: ExchangeEvent.Head?): Boolean =
        head != null && head.status == HttpStatusCode.OK.value && head.contentType.startsWith(EVENT_STREAM)

    private fun restart() {
        head = null
        held.reset()
    }

    private fun hold(body: ExchangeEvent.Body) {
        held.write(body.bytes)
        exchange.onConsumed(body.bytes.size)
    }

    private suspend fun replay(answer: RecordedAnswer): Outcome {
        call.response.header(CallerHeaders.REPLAYED, "true")
        outcomeHeaders(Outcome.Answered)
        val body = answer.body.orEmpty()
        call.respondText(body, contentType(answer.contentType), HttpStatusCode.fromValue(answer.status))
        return Outcome.Answered
    }

    private suspend fun conclude(outcome: Outcome): Outcome {
        outcomeHeaders(outcome)
        val whole = head
        when (outcome) {
            Outcome.Answered -> respondWhole(checkNotNull(whole) { "An answer that is whole has a head." })
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

    private suspend fun respondWhole(whole: ExchangeEvent.Head) {
        exchange.hasDelivered = true
        call.respondBytes(held.toByteArray(), contentType(whole.contentType), HttpStatusCode.fromValue(whole.status))
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

    private fun outcomeHeaders(outcome: Outcome) {
        call.response.header(CallerHeaders.OUTCOME, outcome.code)
        when (outcome) {
            Outcome.Answered -> Unit
            is Outcome.NotRun -> call.response.header(CallerHeaders.REASON, outcome.reason.code)
            is Outcome.Unknown -> call.response.header(CallerHeaders.REASON, outcome.reason.code)
        }
    }

    private fun contentType(text: String): ContentType =
        if (text.isEmpty()) ContentType.Application.OctetStream else ContentType.parse(text)

    /** Hands the answer on while it arrives. The headers cannot tell the outcome yet, so a clean end tells it. */
    private suspend fun stream(present: ExchangeEvent.Head): Outcome {
        exchange.hasDelivered = true
        call.response.header(CallerHeaders.OUTCOME, STREAMED)
        var outcome: Outcome? = null
        call.respondBytesWriter(contentType(present.contentType), HttpStatusCode.fromValue(present.status)) {
            outcome = writeStream(this, isEventStream(present))
        }
        return checkNotNull(outcome) { "A stream ends with an outcome." }
    }

    private suspend fun writeStream(output: ByteWriteChannel, isEventStream: Boolean): Outcome {
        val tail = AnswerTail(isEventStream)
        write(output, tail.accept(held.toByteArray()))
        while (true) {
            when (val event = exchange.events.receive()) {
                is ExchangeEvent.Body -> {
                    write(output, tail.accept(event.bytes))
                    exchange.onConsumed(event.bytes.size)
                }
                is ExchangeEvent.Concluded -> return finish(output, event.outcome, tail, isEventStream)
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

    private suspend fun finish(
        output: ByteWriteChannel,
        outcome: Outcome,
        tail: AnswerTail,
        isEventStream: Boolean,
    ): Outcome {
        if (outcome == Outcome.Answered) {
            write(output, tail.rest())
            return outcome
        }
        if (!isEventStream) throw AnswerBrokenException(exchange.requestId.toString())
        val code = (outcome as? Outcome.Unknown)?.reason?.code.orEmpty()
        output.writeStringUtf8("event: error\ndata: ${CallerErrors.document("unknown-$code", BROKEN_OFF)}\n\n")
        output.flush()
        return outcome
    }

    private companion object {
        const val LARGEST_HELD_BYTES = 262_144
        const val EVENT_STREAM = "text/event-stream"
        const val STREAMED = "streamed"
        const val BROKEN_OFF = "The stream could not be finished; what was received is not the whole answer."
        const val MILLISECONDS_PER_SECOND = 1000L
    }
}
