package org.guavahatch.standins.engine

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.guavahatch.standins.Subcommand
import org.guavahatch.standins.web.ServedRecords
import org.guavahatch.standins.web.receiveJson
import org.guavahatch.standins.web.respondJson
import org.guavahatch.standins.web.standInServer
import org.kohsuke.args4j.Option
import java.nio.file.Path

/** Subcommand `engine`: serves a simulated inference engine over HTTP. */
internal class EngineMain : Subcommand {
    @Option(name = "--port", required = true, usage = "port on the loopback address")
    private var port = 0

    @Option(name = "--speed", usage = "factor by which the engine is faster than the default")
    private var speed = 1.0

    @Option(name = "--cache-tokens", usage = "tokens of prompt prefixes that are cached")
    private var cacheTokens = 40_000

    @Option(name = "--memory-tokens", usage = "tokens that the KV memory holds")
    private var memoryTokens = 200_000L

    @Option(name = "--ignore-fencing", usage = "apply orders with old fencing numbers too")
    private var ignoreFencing = false

    @Option(name = "--records-file", usage = "file that keeps the records over restarts")
    private var recordsFile: String? = null

    /** Body of `POST /control`; [slowdown] is the factor of [BatchEngine.slowdown]. */
    @Serializable
    private data class Control(val slowdown: Double)

    override fun run() {
        val settings = EngineSettings(
            speed = speed,
            cacheTokens = cacheTokens,
            memoryTokens = memoryTokens,
            checksFencing = !ignoreFencing,
        )
        val scope = CoroutineScope(Dispatchers.Default)
        val engine = BatchEngine(settings, scope)
        val reportedLoad = LaggingReport(settings.reportLagMilliseconds, EngineLoad(0, 0, 0))
        engine.start()
        scope.launch {
            while (true) {
                reportedLoad.add(System.nanoTime() / NANOSECONDS_PER_MILLISECOND, engine.load)
                delay(REPORT_INTERVAL_MILLISECONDS)
            }
        }
        standInServer(port) { routes(engine, EngineOrders(settings.checksFencing), reportedLoad) }.start(wait = true)
    }

    private fun Routing.routes(engine: BatchEngine, orders: EngineOrders, reportedLoad: LaggingReport<EngineLoad>) {
        val records = ServedRecords(recordsFile?.let(Path::of))
        val chat = ChatRoutes(engine, records)
        post("/v1/chat/completions") { chat.handleCompletion(call) }
        post("/v1/requests/{id}/cancel") { call.respondJson(chat.cancel(call.parameters["id"].orEmpty())) }
        get("/load") { call.respondJson(reportedLoad.get()) }
        get("/cache-events") {
            val since = call.request.queryParameters["since"]?.toLongOrNull() ?: 0
            call.respondJson(engine.cacheEvents.eventsAfter(since, System.currentTimeMillis()))
        }
        get("/statistics") { call.respondJson(engine.computedPromptTokens) }
        get("/records") { call.respondJson(records.all) }
        get("/orders") { call.respondJson(orders.state()) }
        post("/orders") {
            val isApplied = orders.apply(call.receiveJson<EngineOrder>())
            call.respondJson(isApplied, if (isApplied) HttpStatusCode.OK else HttpStatusCode.Conflict)
        }
        post("/control") {
            engine.slowdown = call.receiveJson<Control>().slowdown
            call.respondJson(engine.slowdown)
        }
    }

    private companion object {
        const val REPORT_INTERVAL_MILLISECONDS = 100L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
