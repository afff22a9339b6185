package org.guavahatch.standins.application

import io.ktor.http.ContentType
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.guavahatch.standins.Subcommand
import org.guavahatch.standins.web.ServedRecords
import org.guavahatch.standins.web.receiveJson
import org.guavahatch.standins.web.respondJson
import org.guavahatch.standins.web.standInJson
import org.guavahatch.standins.web.standInServer
import org.kohsuke.args4j.Option
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger

/**
 * Body of an answer.
 *
 * @property kind operation that was called, such as `stock lookup`
 * @property subject path of the call
 * @property name idempotency key of the call, or its query parameter `name`; empty if it has neither
 * @property number sequence number of the call since start, from 1
 */
@Serializable
internal data class ApplicationAnswer(val kind: String, val subject: String, val name: String, val number: Int)

/**
 * Subcommand `application`: serves a simulated application with order placement, stock lookup, gate opening and
 * ledger reading.
 */
internal class ApplicationMain : Subcommand {
    @Option(name = "--port", required = true, usage = "port on the loopback address")
    private var port = 0

    @Option(name = "--service-milliseconds", usage = "time that a call takes")
    private var serviceMilliseconds = 5L

    @Option(name = "--records-file", usage = "file that keeps the records over restarts")
    private var recordsFile: String? = null

    private val records by lazy { ServedRecords(recordsFile?.let(Path::of)) }
    private val callCount = AtomicInteger()

    @Volatile
    private var fault = ApplicationFault()

    @Volatile
    private var previousAnswer: PreparedAnswer? = null

    /** Answer that can be sent again to another call. */
    private class PreparedAnswer(val requestId: String, val body: String)

    override fun run() {
        standInServer(port) { routes() }.start(wait = true)
    }

    private fun Routing.routes() {
        get("/records") { call.respondJson(records.all) }
        get("/load") { call.respondJson(callCount.get()) }
        put("/fault") {
            fault = call.receiveJson()
            call.respondJson(fault)
        }
        post("/orders") { serve(call, "order placement") }
        post("/gates/{gate}/open") { serve(call, "gate opening") }
        get("/stock/{article}") { serve(call, "stock lookup") }
        get("/ledgers/{ledger}") { serve(call, "ledger reading") }
    }

    private suspend fun serve(call: ApplicationCall, kind: String) {
        call.receiveText()
        val number = callCount.incrementAndGet()
        val name = call.request.headers["Idempotency-Key"] ?: call.request.queryParameters["name"].orEmpty()
        if (name.isNotEmpty()) records.recordExecution(name)
        delay(serviceMilliseconds)
        val body = standInJson.encodeToString(ApplicationAnswer(kind, call.request.path(), name, number))
        if (name.isNotEmpty()) records.recordAnswer(name, body)
        val answer = PreparedAnswer(call.request.headers[REQUEST_ID_HEADER].orEmpty(), body)
        val currentFault = fault
        val mode = if (number % currentFault.everyNth == 0) currentFault.mode else AnswerMode.NORMAL
        respond(call, answer, mode, currentFault)
        previousAnswer = answer
    }

    private suspend fun respond(
        call: ApplicationCall,
        answer: PreparedAnswer,
        mode: AnswerMode,
        fault: ApplicationFault,
    ) {
        when (mode) {
            AnswerMode.NORMAL -> send(call, answer)
            AnswerMode.CROSSED -> send(call, previousAnswer ?: answer)
            AnswerMode.CUT -> call.respond(TruncatedBody(answer.body))
            AnswerMode.NEVER -> awaitCancellation()
            AnswerMode.LATE -> {
                delay(fault.delayMilliseconds)
                send(call, answer)
            }
        }
    }

    private suspend fun send(call: ApplicationCall, answer: PreparedAnswer) {
        call.response.header(REQUEST_ID_HEADER, answer.requestId)
        call.respondText(answer.body, ContentType.Application.Json)
    }

    /** Declares the full content length, sends the first half of the body and fails, which closes the connection. */
    private class TruncatedBody(private val body: String) : OutgoingContent.WriteChannelContent() {
        override val contentLength: Long = body.length.toLong()
        override val contentType: ContentType = ContentType.Application.Json

        override suspend fun writeTo(channel: ByteWriteChannel) {
            channel.writeStringUtf8(body.take(body.length / 2))
            channel.flush()
            error("The response body was truncated by the injected fault.")
        }
    }

    private companion object {
        const val REQUEST_ID_HEADER = "X-Request-Id"
    }
}
