package org.guavahatch.cli.process

import org.guavahatch.platform.PlatformHeaders
import org.guavahatch.platform.standin.CallerResult
import org.guavahatch.platform.standin.Deployment
import org.guavahatch.platform.standin.EndpointReply
import org.guavahatch.platform.standin.GatewayClient
import java.nio.file.Files
import kotlin.concurrent.thread

/**
 * A second answer of an endpoint to a request, and the answer to the next request on the connection.
 *
 * @property number tells the endpoints, services and routes of all cases apart
 * @property form what the endpoint writes between two answers
 * @property moment when it writes it
 * @property kind kind of the route
 * @property status status of the answer to the next request
 */
internal class SplicedAnswer(val number: Int, val form: Form, val moment: Moment, val kind: String, val status: Int) {
    val name = "${form.name}, $moment, $kind, $status"
    val service = "service-$number"
    val ownBody = "own-$number"

    /** @property segments what is written; `{id}` stands for the id of the earlier request */
    class Form(val name: String, vararg val segments: String)

    enum class Moment { IDLE, BEFORE_NEXT_ANSWER }
}

/** Plays of [SplicedAnswer] against a gateway as a separate process. */
internal object SplicedAnswers {
    const val OK = 200
    const val FAILED = 500

    /** The endpoint's own failure, and those of the gateway. */
    val FAILURES = listOf(FAILED, 502, 504)

    /** Calls in progress at a time. */
    private const val CALLERS = 44
    private const val LATE_MILLISECONDS = 15L
    private const val IDLE_MILLISECONDS = 60L
    private const val SEGMENT_MILLISECONDS = 10L

    /** Time within which a gateway receives the list of endpoints. */
    private const val LIST_MILLISECONDS = 500L

    private val idHeader = PlatformHeaders.names.requestId
    private const val STATUS_LINE = "HTTP/1.1 200 OK\r\n"
    private val sealLine = "${EndpointReply.SEAL_HEADER}: seal\r\n"
    private val head = "$STATUS_LINE$sealLine$idHeader: {id}\r\n" +
        "Content-Length: 5\r\n\r\n"

    private val forms = listOf(
        SplicedAnswer.Form("cut after the version", "HTTP/1.1 "),
        SplicedAnswer.Form("cut inside the status", "HTTP/1.1 2"),
        SplicedAnswer.Form("cut after the status", "HTTP/1.1 200"),
        SplicedAnswer.Form("cut before the reason", "HTTP/1.1 200 "),
        SplicedAnswer.Form("cut before the end of the status line", "HTTP/1.1 200 OK"),
        SplicedAnswer.Form("cut inside the end of the status line", "HTTP/1.1 200 OK\r"),
        SplicedAnswer.Form("cut after the status line", STATUS_LINE),
        SplicedAnswer.Form("cut inside a header's name", "${STATUS_LINE}X-Guava"),
        SplicedAnswer.Form("cut inside a header's value", "$STATUS_LINE$sealLine".dropLast(4)),
        SplicedAnswer.Form("cut after a header", "$STATUS_LINE$sealLine"),
        SplicedAnswer.Form("cut inside the id", "$STATUS_LINE$idHeader: c"),
        SplicedAnswer.Form("cut behind the id", head.substringBefore("5\r\n")),
        SplicedAnswer.Form("a head without its body", head),
        SplicedAnswer.Form("cut inside the body", "${head}fi"),
        SplicedAnswer.Form("whole", "${head}first"),
        SplicedAnswer.Form("whole, in two segments", head.take(40), "${head.drop(40)}first"),
        SplicedAnswer.Form("whole, and a cut one", "${head}firstHTTP/1.1 200 OK"),
        SplicedAnswer.Form("without an id", "${STATUS_LINE}Content-Length: 5\r\n\r\nfirst"),
        SplicedAnswer.Form("an interim response", "HTTP/1.1 102 Processing\r\n\r\n"),
        SplicedAnswer.Form("an empty line", "\r\n"),
        SplicedAnswer.Form("the rest of a body", "first"),
        SplicedAnswer.Form("a protocol's name", "X"),
    )

    private val cases = forms.flatMap { form ->
        SplicedAnswer.Moment.entries.flatMap { moment ->
            listOf("safe", "non_idempotent", "streaming").flatMap { kind ->
                listOf(OK, FAILED).map { status -> numbered(form, moment, kind, status) }
            }
        }
    }.mapIndexed { number, case -> case(number) }

    private fun numbered(form: SplicedAnswer.Form, moment: SplicedAnswer.Moment, kind: String, status: Int) =
        { number: Int -> SplicedAnswer(number, form, moment, kind, status) }

    /** Plays all cases against one gateway, each with an endpoint of its own; returns the second results. */
    fun play(): Map<SplicedAnswer, CallerResult> = Deployment().use { deployment ->
        val routes = cases.joinToString(",") { Deployment.route("c${it.number}", it.kind, service = it.service) }
        deployment.configure(1, routes = routes, services = cases.map { it.service })
        cases.forEach { case ->
            deployment.endpoint("i-${case.number}", service = case.service) { reply(case) }
        }
        val settings = deployment.settings("gateway-1", deployment.store.address)
        val process = GatewayLauncher(settings, Files.createTempDirectory("spliced")).start()
        try {
            val gateway = GatewayClient(settings)
            check(Deployment.until { gateway.readiness() == OK }) { "The gateway is not ready." }
            Thread.sleep(LIST_MILLISECONDS)
            cases.chunked(CALLERS).flatMap { callAll(gateway, it) }.toMap()
        } finally {
            process.kill()
        }
    }

    private fun callAll(gateway: GatewayClient, cases: List<SplicedAnswer>): List<Pair<SplicedAnswer, CallerResult>> {
        val results = arrayOfNulls<CallerResult>(cases.size)
        val callers = cases.mapIndexed { index, case -> thread { results[index] = callTwice(gateway, case) } }
        callers.forEach { it.join() }
        return cases.mapIndexed { index, case -> case to checkNotNull(results[index]) { case.name } }
    }

    private fun callTwice(gateway: GatewayClient, case: SplicedAnswer): CallerResult {
        val first = gateway.call("/c${case.number}/x", "c${case.number}-first")
        check(first.status == OK) { "${case.name}: the first answer is ${first.status}" }
        Thread.sleep(IDLE_MILLISECONDS)
        return gateway.call("/c${case.number}/x", "c${case.number}-second")
    }

    private fun EndpointReply.reply(case: SplicedAnswer) {
        if (request.id.endsWith("first")) {
            answer(OK, "first")
            if (case.moment == SplicedAnswer.Moment.IDLE) {
                Thread.sleep(LATE_MILLISECONDS)
                writeCopy(case.form, request.id)
            }
            return
        }
        if (case.moment == SplicedAnswer.Moment.BEFORE_NEXT_ANSWER && earlier.isNotEmpty()) {
            writeCopy(case.form, earlier.last().id)
        }
        answer(case.status, case.ownBody)
    }

    private fun EndpointReply.writeCopy(form: SplicedAnswer.Form, id: String) =
        form.segments.forEachIndexed { index, segment ->
            if (index > 0) Thread.sleep(SEGMENT_MILLISECONDS)
            raw(segment.replace("{id}", id))
        }
}
