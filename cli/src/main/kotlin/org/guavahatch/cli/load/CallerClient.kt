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
import org.guavahatch.coordination.http.SingleTryClient
import java.net.ConnectException
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Sends requests as callers do.
 *
 * @property targets addresses of entry instances, which take turns; one that refuses the connection is passed over,
 * as a balancer does
 */
internal class CallerClient(private val targets: List<String>) : AutoCloseable {
    private val client = SingleTryClient.create(MAXIMUM_CONNECTIONS, CONNECT_MILLISECONDS)

    /** Sends [planned] and reads its answer; [startNanoseconds] is when it was to be sent. */
    suspend fun send(planned: PlannedRequest, startNanoseconds: Long): Measurement {
        repeat(targets.size) { attempt ->
            val target = targets[(planned.number + attempt) % targets.size]
            try {
                return client.prepareRequest { build(target, planned) }
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

    private fun HttpRequestBuilder.build(target: String, planned: PlannedRequest) {
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
            setBody(body(planned))
        }
    }

    private fun body(planned: PlannedRequest): String {
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

    private suspend fun measure(planned: PlannedRequest, start: Long, response: HttpResponse): Measurement {
        val told = response.headers["guavahatch-outcome"]
        val reason = response.headers["guavahatch-reason"].orEmpty()
        val id = response.headers["guavahatch-request-id"].orEmpty()
        return when (told) {
            "answered", "streamed" -> measureAnswer(planned, start, response, id)
            "not-run" -> measurement(planned, start, ObservedOutcome.NOT_RUN, reason, id)
            "unknown" -> measurement(planned, start, ObservedOutcome.UNKNOWN, reason, id)
            null -> measureDirect(planned, start, response)
            else -> measurement(planned, start, ObservedOutcome.BROKEN, told, id)
        }
    }

    /** Endpoints that are called without the system tell no outcome. */
    private suspend fun measureDirect(planned: PlannedRequest, start: Long, response: HttpResponse): Measurement =
        if (response.status.value < FIRST_ERROR) {
            measureAnswer(planned, start, response, "")
        } else {
            measurement(planned, start, ObservedOutcome.REFUSED, response.status.value.toString())
        }

    private suspend fun measureAnswer(
        planned: PlannedRequest,
        start: Long,
        response: HttpResponse,
        id: String,
    ): Measurement {
        val answer = when (planned.kind.shape) {
            RequestShape.CHAT_STREAM -> AnswerReader.readStream(response)
            RequestShape.CHAT -> AnswerReader.readChat(response)
            RequestShape.CHANGE, RequestShape.LOOKUP -> AnswerReader.readPlain(response)
        }
        val end = System.nanoTime()
        val times = answer.tokenTimesNanoseconds
        return Measurement(
            planned = planned,
            outcome = if (answer.isWhole) ObservedOutcome.ANSWERED else ObservedOutcome.UNKNOWN,
            reason = if (answer.isWhole) "" else "stream-broken",
            durationMilliseconds = milliseconds(end - start),
            firstTokenMilliseconds = times.firstOrNull()?.let { milliseconds(it - start) },
            tokenGapsMilliseconds = times.zipWithNext { first, second -> milliseconds(second - first) },
            contentHash = if (answer.isWhole) hash(answer.content) else "",
            requestId = id,
        )
    }

    private fun measurement(
        planned: PlannedRequest,
        start: Long,
        outcome: ObservedOutcome,
        reason: String,
        id: String = "",
    ): Measurement {
        val duration = milliseconds(System.nanoTime() - start)
        return Measurement(planned, outcome, reason, duration, null, emptyList(), "", id)
    }

    private fun milliseconds(nanoseconds: Long) = nanoseconds / NANOSECONDS_PER_MILLISECOND

    private fun hash(content: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content.toByteArray()))

    override fun close() {
        client.close()
    }

    private companion object {
        const val MAXIMUM_CONNECTIONS = 10_000
        const val CONNECT_MILLISECONDS = 2000L
        const val FIRST_ERROR = 400
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0
    }
}
