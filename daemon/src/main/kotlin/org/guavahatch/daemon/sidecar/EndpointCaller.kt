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
import org.guavahatch.coordination.http.SingleTryClient
import org.guavahatch.protocol.message.EndpointCall
import org.guavahatch.protocol.message.FailureReason
import java.net.ConnectException

/** How a call of the endpoint ended. */
internal sealed interface CallEnd {
    /** The whole answer was received. */
    data class Whole(val promptTokens: Int) : CallEnd

    /** The endpoint may have run the call, and its answer is not whole. */
    data class Failed(val reason: FailureReason) : CallEnd

    /** The endpoint received nothing of the call. */
    data object NotSent : CallEnd
}

/** Takes an answer while it arrives. */
internal interface AnswerSink {
    suspend fun head(status: Int, contentType: String)

    /** A part of the body with [tokens] generated tokens; suspends while the receiver is behind. */
    suspend fun body(bytes: ByteArray, tokens: Int)
}

/**
 * Calls the endpoint by HTTP. A call is sent once, whatever happens to it.
 *
 * @property endpointUrl address of the endpoint
 * @property echoesRequestId whether the endpoint repeats the request's id in its answers
 */
internal class EndpointCaller(private val endpointUrl: String, private val echoesRequestId: Boolean) : AutoCloseable {
    private val client = SingleTryClient.create(MAXIMUM_CONNECTIONS, CONNECT_MILLISECONDS)

    /** Sends [call] under the name [callId] and hands the answer to [sink]. */
    suspend fun call(call: EndpointCall, callId: String, sink: AnswerSink): CallEnd = try {
        client.prepareRequest { build(call, callId) }.execute { response -> receive(response, callId, sink) }
    } catch (exception: CancellationException) {
        throw exception
    } catch (_: ConnectException) {
        CallEnd.NotSent
    } catch (_: Exception) {
        CallEnd.Failed(FailureReason.CUT)
    }

    private fun HttpRequestBuilder.build(call: EndpointCall, callId: String) {
        method = HttpMethod.parse(call.method)
        url(endpointUrl + call.path)
        header(REQUEST_ID, callId)
        // A kept connection may be closed by the endpoint just as it is used again, which would leave it unknown
        // whether the call was received.
        header(HttpHeaders.Connection, "close")
        if (call.idempotencyKey.isNotEmpty()) header(IDEMPOTENCY_KEY, call.idempotencyKey)
        if (call.body.isNotEmpty()) setBody(ByteArrayContent(call.body, ContentType.parse(call.contentType)))
    }

    private suspend fun receive(response: HttpResponse, callId: String, sink: AnswerSink): CallEnd {
        if (echoesRequestId && response.headers[REQUEST_ID] != callId) return CallEnd.Failed(FailureReason.CROSSED)
        val contentType = response.contentType()
        sink.head(response.status.value, contentType?.toString().orEmpty())
        val input = response.bodyAsChannel()
        val isStream = contentType?.match(ContentType.Text.EventStream) == true
        return if (isStream) receiveEvents(input, sink) else receiveBytes(input, response.contentLength(), sink)
    }

    private suspend fun receiveEvents(input: ByteReadChannel, sink: AnswerSink): CallEnd {
        val reader = EventStreamReader(input)
        var promptTokens = 0
        while (true) {
            val event = reader.next() ?: return CallEnd.Failed(FailureReason.CUT)
            promptTokens = maxOf(promptTokens, event.promptTokens)
            sink.body(event.bytes, event.tokens)
            if (event.isLast) return CallEnd.Whole(promptTokens)
        }
    }

    private suspend fun receiveBytes(input: ByteReadChannel, announced: Long?, sink: AnswerSink): CallEnd {
        val buffer = ByteArray(BUFFER_BYTES)
        var length = 0L
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) break
            length += count
            if (count > 0) sink.body(buffer.copyOf(count), 0)
        }
        val isWhole = announced == null || announced == length
        return if (isWhole) CallEnd.Whole(0) else CallEnd.Failed(FailureReason.CUT)
    }

    override fun close() {
        client.close()
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        const val BUFFER_BYTES = 16_384
        const val MAXIMUM_CONNECTIONS = 4096
        const val CONNECT_MILLISECONDS = 500L
    }
}
