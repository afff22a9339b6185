package org.guavahatch.daemon.sidecar

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.contentLength
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.cancel
import org.guavahatch.coordination.http.AnswerHeads
import org.guavahatch.coordination.http.SingleAttemptClient
import org.guavahatch.protocol.message.EndpointCall
import org.guavahatch.protocol.message.FailureReason
import java.net.ConnectException

/** Result of a call to the endpoint. */
internal sealed interface CallResult {
    /** The complete answer was received. */
    data class Complete(val promptTokens: Int) : CallResult

    /** The answer is incomplete and the endpoint may have run the call. */
    data class Failed(val reason: FailureReason) : CallResult

    /** No part of the call reached the endpoint. */
    data object NotSent : CallResult
}

/** Receives an answer as it arrives. */
internal interface AnswerSink {
    /** Called once, before the body. */
    suspend fun onHead(status: Int, contentType: String)

    /** Called for each block of the body, with its generated [tokens]. Suspends while the receiver is behind. */
    suspend fun onBody(bytes: ByteArray, tokens: Int)
}

/**
 * Calls the endpoint over HTTP. A call is never sent a second time, even if it fails.
 *
 * @property endpointUrl base URL of the endpoint
 * @property echoesRequestId whether the endpoint returns the request's `X-Request-Id` in its responses
 */
internal class EndpointCaller(private val endpointUrl: String, private val echoesRequestId: Boolean) : AutoCloseable {
    private val client = SingleAttemptClient.create(MAXIMUM_CONNECTIONS, CONNECT_TIMEOUT_MILLISECONDS)

    /** Sends [call] with the request id [callId] and passes the answer to [sink]. */
    suspend fun call(call: EndpointCall, callId: String, sink: AnswerSink): CallResult = try {
        client.prepareRequest { build(call, callId) }.execute { response -> receive(response, callId, sink) }
    } catch (exception: CancellationException) {
        throw exception
    } catch (_: ConnectException) {
        CallResult.NotSent
    } catch (_: Exception) {
        CallResult.Failed(FailureReason.CUT)
    }

    private fun HttpRequestBuilder.build(call: EndpointCall, callId: String) {
        method = HttpMethod.parse(call.method)
        url(endpointUrl + call.path)
        header(REQUEST_ID, callId)
        // The endpoint may close a reused connection just as the call is sent. It would then be unknown whether the
        // endpoint received the call.
        header(HttpHeaders.Connection, "close")
        if (call.idempotencyKey.isNotEmpty()) header(IDEMPOTENCY_KEY, call.idempotencyKey)
        if (call.body.isNotEmpty()) setBody(ByteArrayContent(call.body, ContentType.parse(call.contentType)))
    }

    private suspend fun receive(response: HttpResponse, callId: String, sink: AnswerSink): CallResult {
        val isOther = echoesRequestId && response.headers[REQUEST_ID] != callId
        if (isOther || AnswerHeads.isPutTogether(response, REQUEST_ID)) {
            // The end of the call alone would leave the connection open and the endpoint at work.
            response.cancel()
            return CallResult.Failed(FailureReason.CROSSED)
        }
        val contentType = response.contentType()
        sink.onHead(response.status.value, contentType?.toString().orEmpty())
        val input = response.bodyAsChannel()
        val isStream = contentType?.match(ContentType.Text.EventStream) == true
        return if (isStream) receiveEvents(input, sink) else receiveBytes(input, response.contentLength(), sink)
    }

    private suspend fun receiveEvents(input: ByteReadChannel, sink: AnswerSink): CallResult {
        val reader = EventStreamReader(input)
        var promptTokens = 0
        while (true) {
            val event = reader.next() ?: return CallResult.Failed(FailureReason.CUT)
            promptTokens = maxOf(promptTokens, event.promptTokens)
            sink.onBody(event.bytes, event.tokens)
            if (event.isLast) return CallResult.Complete(promptTokens)
        }
    }

    private suspend fun receiveBytes(input: ByteReadChannel, contentLength: Long?, sink: AnswerSink): CallResult {
        val buffer = ByteArray(BUFFER_BYTES)
        var length = 0L
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) break
            length += count
            if (count > 0) sink.onBody(buffer.copyOf(count), 0)
        }
        val isComplete = contentLength == null || contentLength == length
        return if (isComplete) CallResult.Complete(0) else CallResult.Failed(FailureReason.CUT)
    }

    override fun close() {
        client.close()
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        const val BUFFER_BYTES = 16_384
        const val MAXIMUM_CONNECTIONS = 4096
        const val CONNECT_TIMEOUT_MILLISECONDS = 500L
    }
}
