package org.guavahatch.cli.load

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.guavahatch.coordination.http.SingleAttemptClient
import java.net.ConnectException
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Sends requests as a caller behind a load balancer does.
 *
 * @property targets base URLs of entry instances, used in round-robin order; one that refuses the connection is skipped
 */
internal class CallerClient(private val targets: List<String>) : AutoCloseable {
    private val client = SingleAttemptClient.create(MAXIMUM_CONNECTIONS, CONNECT_TIMEOUT_MILLISECONDS)

    /** Sends [planned] and reads the response. Times are measured from [startNanoseconds], the planned start. */
    suspend fun send(planned: PlannedRequest, startNanoseconds: Long): Measurement {
        repeat(targets.size) { attempt ->
            val target = targets[(planned.number + attempt) % targets.size]
            try {
                return client.prepareRequest { configure(target, planned) }
                    .execute { response -> measure(planned, startNanoseconds, response) }
            } catch (_: ConnectException) {
                return@repeat
            } catch (exception: CancellationException) {
                throw exception
            } catch (exception: Exception) {
                return measurement(planned, startNanoseconds, ObservedOutcome.BROKEN, exception.javaClass.simpleName)
            }
        }
        return measurement(planned, startNanoseconds, ObservedOutcome.NOT_RUN, "not-connected")
    }

    private fun HttpRequestBuilder.configure(target: String, planned: PlannedRequest) {
        val kind = planned.kind
        val path = kind.path.replace("{n}", planned.number.toString())
        method = if (kind.shape == RequestShape.LOOKUP) HttpMethod.Get else HttpMethod.Post
        url(target + path + if (kind.shape == RequestShape.LOOKUP) "?name=${planned.name}" else "")
        header(HttpHeaders.Authorization, "Bearer ${kind.key}")
        header(HttpHeaders.Connection, "close")
        header("guavahatch-deadline-ms", kind.deadlineMilliseconds)
        if (kind.tier.isNotEmpty()) header("guavahatch-tier", kind.tier)
        if (kind.shape == RequestShape.CHANGE) header("Idempotency-Key", planned.name)
        if (kind.shape != RequestShape.LOOKUP) {
            contentType(ContentType.Application.Json)
            setBody(requestBody(planned))
        }
    }

    private fun requestBody(planned: PlannedRequest): String {
        val kind = planned.kind
        if (kind.shape == RequestShape.CHANGE) return buildJsonObject { put("item", planned.number) }.toString()
        return buildJsonObject {
            put("model", "stand-in")
            put("user", planned.name)
            put("stream", kind.shape == RequestShape.CHAT_STREAM)
            put("max_tokens", kind.maximumTokens)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", PromptText.of(planned))
                }
            }
        }.toString()
    }

    private suspend fun measure(planned: PlannedRequest, startNanoseconds: Long, response: HttpResponse): Measurement {
        val outcome = response.headers["guavahatch-outcome"]
        val reason = response.headers["guavahatch-reason"].orEmpty()
        val requestId = response.headers["guavahatch-request-id"].orEmpty()
        return when (outcome) {
            "answered", "streamed" -> measureAnswer(planned, startNanoseconds, response, requestId)
            "not-run" -> measurement(planned, startNanoseconds, ObservedOutcome.NOT_RUN, reason, requestId)
            "unknown" -> measurement(planned, startNanoseconds, ObservedOutcome.UNKNOWN, reason, requestId)
            null -> measureWithoutOutcome(planned, startNanoseconds, response)
            else -> measurement(planned, startNanoseconds, ObservedOutcome.BROKEN, outcome, requestId)
        }
    }

    /** Measures a response without an outcome header, as from an endpoint that is called directly. */
    private suspend fun measureWithoutOutcome(
        planned: PlannedRequest,
        startNanoseconds: Long,
        response: HttpResponse,
    ): Measurement = if (response.status.value < FIRST_ERROR_STATUS) {
        measureAnswer(planned, startNanoseconds, response, "")
    } else {
        measurement(planned, startNanoseconds, ObservedOutcome.REFUSED, response.status.value.toString())
    }

    private suspend fun measureAnswer(
        planned: PlannedRequest,
        startNanoseconds: Long,
        response: HttpResponse,
        requestId: String,
    ): Measurement {
        val answer = when (planned.kind.shape) {
            RequestShape.CHAT_STREAM -> AnswerReader.readStream(response)
            RequestShape.CHAT -> AnswerReader.readChat(response)
            RequestShape.CHANGE, RequestShape.LOOKUP -> AnswerReader.readPlain(response)
        }
        val endNanoseconds = System.nanoTime()
        val times = answer.tokenTimesNanoseconds
        return Measurement(
            planned = planned,
            outcome = if (answer.isComplete) ObservedOutcome.ANSWERED else ObservedOutcome.UNKNOWN,
            reason = if (answer.isComplete) "" else "stream-broken",
            durationMilliseconds = toMilliseconds(endNanoseconds - startNanoseconds),
            firstTokenMilliseconds = times.firstOrNull()?.let { toMilliseconds(it - startNanoseconds) },
            tokenGapsMilliseconds = times.zipWithNext { first, second -> toMilliseconds(second - first) },
            contentHash = if (answer.isComplete) sha256(answer.content) else "",
            requestId = requestId,
        )
    }

    private fun measurement(
        planned: PlannedRequest,
        startNanoseconds: Long,
        outcome: ObservedOutcome,
        reason: String,
        requestId: String = "",
    ): Measurement {
        val duration = toMilliseconds(System.nanoTime() - startNanoseconds)
        return Measurement(planned, outcome, reason, duration, null, emptyList(), "", requestId)
    }

    private fun toMilliseconds(nanoseconds: Long) = nanoseconds / NANOSECONDS_PER_MILLISECOND

    private fun sha256(content: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content.toByteArray()))

    override fun close() {
        client.close()
    }

    private companion object {
        const val MAXIMUM_CONNECTIONS = 10_000
        const val CONNECT_TIMEOUT_MILLISECONDS = 2000L
        const val FIRST_ERROR_STATUS = 400
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0
    }
}
