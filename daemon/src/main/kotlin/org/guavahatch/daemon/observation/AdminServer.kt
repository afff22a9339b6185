package org.guavahatch.daemon.observation

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * Status of a process, as served to operators.
 *
 * @property name name of the process
 * @property role `entry` or `sidecar`
 * @property incarnation identifier of this run of the process
 * @property isReady whether the process accepts work
 * @property configuration number of the configuration in force, or 0 if there is none
 * @property contentHash hash of the configuration in force
 * @property requests number of requests that the process holds
 * @property peers names of the connected processes
 */
@Serializable
internal data class ProcessStatus(
    val name: String,
    val role: String,
    val incarnation: String,
    val isReady: Boolean,
    val configuration: Long,
    val contentHash: String,
    val requests: Int,
    val peers: List<String>,
)

/** HTTP server for health, readiness, metrics and status. */
internal class AdminServer(
    host: String,
    port: Int,
    private val metrics: DaemonMetrics,
    private val isReady: () -> Boolean,
    private val status: suspend () -> ProcessStatus,
) {
    private val server: EmbeddedServer<*, *> = embeddedServer(CIO, port = port, host = host) {
        routing {
            get("/health") { call.respondText("healthy") }
            get("/ready") {
                val ready = isReady()
                val code = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
                call.respondText(if (ready) "ready" else "not ready", status = code)
            }
            get("/metrics") { call.respondText(metrics.scrape()) }
            get("/status") {
                call.respondText(Json.encodeToString(status()), ContentType.Application.Json)
            }
        }
    }

    fun start() {
        server.start(wait = false)
    }

    fun stop() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_MILLISECONDS)
    }

    private companion object {
        const val STOP_MILLISECONDS = 500L
    }
}
