package org.guavahatch.cli.process

import org.guavahatch.platform.standin.Deployment
import org.guavahatch.platform.standin.EndpointReply
import org.guavahatch.platform.standin.EndpointStandIn
import org.guavahatch.platform.standin.GatewayClient
import org.guavahatch.standins.launch.ManagedProcess
import java.nio.file.Files
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Endpoints that could make a gateway, as a separate process, run a request twice or deny that it ran. */
class RunOnceTest {
    private val runs = ObservedRuns()
    private val rejected = ConcurrentHashMap.newKeySet<String>()

    @Test
    fun `an order whose rejection is written once more on its connection runs once`() =
        play(endpoints = 1, { rejectThenRepeatRejection(requestedStatus()) }) { gateway, _ ->
            val failures = listOf(421, 429, 503).flatMap { status ->
                List(REQUESTS) { "copy-$status-$it" }.mapNotNull { id ->
                    val result = gateway.call("/order/$status", id)
                    "$id: ${runs.of(id).size} runs, status ${result.status}"
                        .takeIf { runs.of(id).size != 1 || result.status != OK }
                }
            }
            assertEquals(emptyList(), failures)
        }

    @Test
    fun `an order that ran is not reported as not run because its endpoint answers without saying so`() =
        play(endpoints = 1, { runAndAnswer(requestedStatus()) }) { gateway, _ ->
            val failures = listOf(408, 429, 503).flatMap { status ->
                List(REQUESTS) { "unmarked-$status-$it" }.mapNotNull { id ->
                    val result = gateway.call("/order/$status", id)
                    "$id: status ${result.status}".takeIf { runs.of(id).isNotEmpty() && result.status in NOT_RUN }
                }
            }
            assertEquals(emptyList(), failures)
        }

    @Test
    fun `an order runs once though its endpoint came back under another id and repeats its rejection`() =
        Deployment().use { deployment ->
            lateinit var endpoint: EndpointStandIn
            deployment.configure(1)
            endpoint = deployment.endpoint("i-0") {
                val number = request.id.substringAfterLast('-').toInt()
                if (request.id !in rejected) deployment.list("i-${number + 1}", endpoint.address)
                Thread.sleep(LIST_MILLISECONDS)
                rejectThenRepeatRejection(421)
            }
            deployment.withGateway { gateway, _ ->
                val failures = List(REQUESTS) { "renamed-$it" }.mapNotNull { id ->
                    gateway.call("/order/421", id)
                    "$id: ${runs.of(id).size} runs".takeIf { runs.of(id).size != 1 }
                }
                assertEquals(emptyList(), failures)
            }
        }

    /**
     * @property name what the endpoint sends in place of the rest of a stream
     * @property work how it works on, until it learns that the stream is not wanted any more
     */
    private class Failure(
        val name: String,
        val work: EndpointReply.() -> Unit = { writeUntilFailure() },
        val write: EndpointReply.() -> Unit,
    )

    private val garbled = listOf<Pair<String, EndpointReply.() -> Unit>>(
        "bytes that are no answer" to { raw("garbage\r\n\r\n") },
        "bytes that are no chunk" to {
            beginStream()
            chunk("id: 1\n\n")
            raw("no chunk\r\n")
        },
        "a length that ends inside an event" to {
            beginStream(length = 12)
            raw("id: 1\n\nid: 2")
        },
        "a last chunk inside an event" to {
            beginStream()
            chunk("id: 1\n\nid: 2")
            endStream()
        },
        "the end of its output" to {
            beginStream()
            chunk("id: 1\n\n")
            endOutput()
        },
    )

    private val failures = garbled.map { (name, write) -> Failure("$name, and more events", write = write) } +
        garbled.map { (name, write) -> Failure(name, { awaitReset(WORK_MILLISECONDS) }, write) } +
        Failure("nothing any more", { awaitReset(WORK_MILLISECONDS) }) {
            beginStream()
            chunk("id: 1\n\n")
        }

    @Test
    fun `an endpoint does not work on after its stream was moved to another one`() =
        play(endpoints = 2 * failures.size, { failOrFinish(failures[request.id.toInt()]) }) { gateway, _ ->
            val callers = failures.indices.map { thread { gateway.call("/resumable/x", "$it") } }
            callers.forEach { it.join() }
            Thread.sleep(WORK_MILLISECONDS)
            val overlaps = failures.indices.associate { failures[it].name to runs.overlap("$it") }
            assertEquals(emptyMap(), overlaps.filterValues { it == null || it > STOP_MILLISECONDS })
        }

    @Test
    fun `a sound stream is not moved to another endpoint because the gateway was paused`() =
        play(endpoints = 3, { streamForSeconds() }) { gateway, process ->
            val ids = List(STREAMS) { "sound-$it" }
            val callers = ids.map { id -> thread { gateway.call("/resumable/x", id) } }
            check(Deployment.until { ids.all { runs.of(it).isNotEmpty() } }) { "The streams have not begun." }
            repeat(2) {
                Thread.sleep(EVENT_MILLISECONDS)
                process.suspendProcess()
                Thread.sleep(PAUSE_MILLISECONDS)
                process.resumeProcess()
            }
            callers.forEach { it.join() }
            assertEquals(emptyMap(), ids.associateWith { runs.of(it).size }.filterValues { it != 1 })
        }

    /** Plays [calls] against a gateway with [endpoints] endpoints that reply with [reply]. */
    private fun play(endpoints: Int, reply: EndpointReply.() -> Unit, calls: (GatewayClient, ManagedProcess) -> Unit) =
        Deployment().use { deployment ->
            deployment.configure(1)
            repeat(endpoints) { deployment.endpoint("i-$it", behaviour = reply) }
            deployment.withGateway(calls)
        }

    private fun Deployment.withGateway(calls: (GatewayClient, ManagedProcess) -> Unit) {
        val settings = settings("gateway-1", store.address)
        val process = GatewayLauncher(settings, Files.createTempDirectory("run-once")).start()
        try {
            val gateway = GatewayClient(settings)
            check(Deployment.until { gateway.readiness() == OK }) { "The gateway is not ready." }
            Thread.sleep(LIST_MILLISECONDS)
            calls(gateway, process)
        } finally {
            process.kill()
        }
    }

    /** The status that the path of the request names. */
    private fun EndpointReply.requestedStatus() = request.line.substringAfterLast("order/").substringBefore(' ').toInt()

    private fun EndpointReply.rejectThenRepeatRejection(status: Int) {
        if (rejected.add(request.id)) return reject(status)
        if (earlier.any { it.id == request.id }) reject(status)
        runAndAnswer(OK)
    }

    private fun EndpointReply.runAndAnswer(status: Int) {
        runs.begin(request.id).end()
        answer(status, "run")
    }

    private fun EndpointReply.failOrFinish(failure: Failure) {
        if (runs.of(request.id).isNotEmpty()) return finishStream()
        val run = runs.begin(request.id)
        failure.write(this)
        failure.work(this)
        run.end()
        close()
    }

    private fun EndpointReply.streamForSeconds() {
        val run = runs.begin(request.id)
        beginStream()
        for (event in 1..SOUND_EVENTS) {
            chunk("id: $event\n\n")
            Thread.sleep(SOUND_EVENT_MILLISECONDS)
        }
        endStream()
        run.end()
    }

    private fun EndpointReply.finishStream() {
        val run = runs.begin(request.id)
        beginStream()
        chunk("id: 2\n\n")
        endStream()
        run.end()
    }

    private companion object {
        const val OK = 200
        const val REQUESTS = 3

        /** Statuses that tell the caller that its request was not run. */
        val NOT_RUN = listOf(408, 421, 429, 503)

        /** Time within which an endpoint must learn that its stream goes on elsewhere. */
        const val STOP_MILLISECONDS = 400L

        /** Works as an endpoint that never reads from a connection with an open request. */
        fun EndpointReply.writeUntilFailure() {
            runCatching {
                repeat((WORK_MILLISECONDS / EVENT_MILLISECONDS).toInt()) {
                    Thread.sleep(EVENT_MILLISECONDS)
                    raw("id: 2\n\n")
                }
            }
        }

        /** Pause between two events of a stream. */
        const val EVENT_MILLISECONDS = 300L

        /** Longer than the silence after which a stream is moved. */
        const val PAUSE_MILLISECONDS = 1_400L
        const val STREAMS = 12

        /** A sound stream, which lasts for less than the caller's 3 s. */
        const val SOUND_EVENTS = 28
        const val SOUND_EVENT_MILLISECONDS = 100L

        /** Time for which an endpoint works on if it does not learn that its stream goes on elsewhere. */
        const val WORK_MILLISECONDS = 2_100L

        /** Time within which a gateway receives the list of endpoints. */
        const val LIST_MILLISECONDS = 300L
    }
}
