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
import org.guavahatch.standins.StandIn
import org.guavahatch.standins.web.ServedRecords
import org.guavahatch.standins.web.receiveJson
import org.guavahatch.standins.web.respondJson
import org.guavahatch.standins.web.standInJson
import org.guavahatch.standins.web.standInServer
import org.kohsuke.args4j.Option
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger

/**
 * Answer of the application.
 *
 * @property kind what was asked for
 * @property subject path of the call
 * @property name the caller's name for the call
 * @property number position of the execution
 */
@Serializable
internal data class ApplicationAnswer(val kind: String, val subject: String, val name: String, val number: Int)

/** Command line of the stand-in application: order placement, stock lookup, gate opening and ledger reading. */
internal class ApplicationMain : StandIn {
    @Option(name = "--port", required = true, usage = "port on the loopback address")
    private var port = 0

    @Option(name = "--service-milliseconds", usage = "time that a call takes")
    private var serviceMilliseconds = 5L

    @Option(name = "--records-file", usage = "file that keeps the records over restarts")
    private var recordsFile: String? = null

    private val records by lazy { ServedRecords(recordsFile?.let(Path::of)) }
    private val calls = AtomicInteger()

    @Volatile
    private var fault = ApplicationFault()

    @Volatile
    private var previousAnswer: PreparedAnswer? = null

    private class PreparedAnswer(val requestId: String, val body: String)

    override fun run() {
        standInServer(port) { routes() }.start(wait = true)
    }

    private fun Routing.routes() {
        get("/records") { call.respondJson(records.all) }
        get("/load") { call.respondJson(calls.get()) }
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
        val number = calls.incrementAndGet()
        val name = call.request.headers["Idempotency-Key"] ?: call.request.queryParameters["name"].orEmpty()
        if (name.isNotEmpty()) records.begin(name)
        delay(serviceMilliseconds)
        val body = standInJson.encodeToString(ApplicationAnswer(kind, call.request.path(), name, number))
        if (name.isNotEmpty()) records.answered(name, body)
        val own = PreparedAnswer(call.request.headers[REQUEST_ID].orEmpty(), body)
        val present = fault
        val mode = if (number % present.everyNth == 0) present.mode else AnswerMode.NORMAL
        answer(call, own, mode, present)
        previousAnswer = own
    }

    private suspend fun answer(call: ApplicationCall, own: PreparedAnswer, mode: AnswerMode, fault: ApplicationFault) {
        when (mode) {
            AnswerMode.NORMAL -> send(call, own)
            AnswerMode.CROSSED -> send(call, previousAnswer ?: own)
            AnswerMode.CUT -> call.respond(CutBody(own.body))
            AnswerMode.NEVER -> awaitCancellation()
            AnswerMode.LATE -> {
                delay(fault.delayMilliseconds)
                send(call, own)
            }
        }
    }

    private suspend fun send(call: ApplicationCall, answer: PreparedAnswer) {
        call.response.header(REQUEST_ID, answer.requestId)
        call.respondText(answer.body, ContentType.Application.Json)
    }

    /** Announces the whole length, sends half of the body and ends. */
    private class CutBody(private val body: String) : OutgoingContent.WriteChannelContent() {
        override val contentLength: Long = body.length.toLong()
        override val contentType: ContentType = ContentType.Application.Json

        override suspend fun writeTo(channel: ByteWriteChannel) {
            channel.writeStringUtf8(body.take(body.length / 2))
            channel.flush()
            error("The body is cut by a fault that was set.")
        }
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
    }
}
