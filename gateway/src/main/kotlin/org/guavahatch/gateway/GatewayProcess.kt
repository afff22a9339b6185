package org.guavahatch.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.json.JsonArray
import org.guavahatch.gateway.caller.CallerServer
import org.guavahatch.gateway.caller.UnreadMonitor
import org.guavahatch.gateway.control.Admission
import org.guavahatch.gateway.control.ConfiguredPermissions
import org.guavahatch.gateway.control.ControlCallHandler
import org.guavahatch.gateway.control.ControlResponse
import org.guavahatch.gateway.control.ControlServer
import org.guavahatch.gateway.control.GatewayState
import org.guavahatch.gateway.endpoint.EndpointConnector
import org.guavahatch.gateway.endpoint.UnexpectedBytes
import org.guavahatch.gateway.endpoint.putUnexpectedBytes
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.GatewayMetrics
import org.guavahatch.gateway.peer.PeerExchange
import org.guavahatch.gateway.request.RequestContext
import org.guavahatch.gateway.settings.GatewaySettings
import org.guavahatch.model.time.Clock
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * One gateway: a single event loop serves all connections and makes all decisions, as its instance has less than one
 * core.
 *
 * @property settings validated settings
 * @property headers header names of this deployment
 */
class GatewayProcess(
    private val settings: GatewaySettings,
    private val headers: GatewayHeaders,
    private val incarnation: String,
    private val clock: Clock,
) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val random = Random(incarnation.hashCode() + clock.wallMilliseconds())

    /** Counters of the gateway; platform adapters add theirs. */
    val metrics: GatewayMetrics = GatewayMetrics()

    /** Handlers of further paths of the control interface, whose requests may wait; set before [start]. */
    var callHandlers: Map<String, ControlCallHandler> = emptyMap()

    /** Log of decisions. */
    val log: DecisionLog = DecisionLog(settings.name, settings.zone)

    private val connector =
        EndpointConnector(group, clock, headers.requestId, settings.endpoints.maximumAnswerBytes, ::noteUnexpectedBytes)

    /** State of the gateway; platform adapters report changes to it, on [eventLoop]. */
    val state: GatewayState = GatewayState(settings, incarnation, loop, clock, log, connector, random)

    private val bufferedResponses = ByteBudget(settings.endpoints.maximumHeldBytes)
    private val context =
        RequestContext(
            loop,
            clock,
            headers,
            connector,
            state.quarantine,
            state.rollouts,
            state.ledger,
            ConfiguredPermissions(state, headers.key),
            bufferedResponses,
            log,
            metrics,
            settings.zone,
        )
    private val admission = Admission(state, context, settings.requests, random)
    private val unread = UnreadMonitor(loop, clock, settings.callerConnections.maximumUnreadBytes, log, metrics)
    private val callers = CallerServer(group, admission, clock, headers.requestId, unread)
    private var stopSignal = CountDownLatch(1)

    private fun noteUnexpectedBytes(address: String, bytes: UnexpectedBytes) {
        metrics.countUnexpectedBytes(bytes.found)
        log.write("endpoint.unexpected-bytes") { putUnexpectedBytes(address, bytes) }
    }

    init {
        state.rollouts.metrics = metrics.rollouts
    }

    /** Event loop on which adapters must call [state]. */
    val eventLoop: EventLoop get() = loop

    private val loopThread: Thread = loop.submit(Callable { Thread.currentThread() }).get()

    /** Whether the event loop's thread still runs. Without it, nothing is answered. */
    val isEventLoopRunning: Boolean get() = loopThread.isAlive

    /** Starts serving. [fetchConfiguration] fetches the configuration from a peer's control address. */
    fun start(fetchConfiguration: (peerAddress: String) -> Unit) {
        log.start()
        log.write("process.started") {
            put("incarnation", incarnation)
            put("zone", settings.zone)
            put("callers", settings.callers)
        }
        ControlServer(group, mapOf("/ready" to ::readinessResponse)).start(settings.readiness)
        val handlers = mapOf(
            "/metrics" to ::metricsResponse,
            "/configuration" to ::configurationResponse,
            "/rollouts" to ::rolloutsResponse,
        )
        ControlServer(group, handlers, callHandlers).start(settings.control)
        PeerExchange(state, loop, clock, log, fetchConfiguration).start(settings.control)
        unread.start()
        callers.start(settings.callers)
        registerGauges()
    }

    /**
     * Stops without interrupting requests: reports not ready at once, later stops accepting connections, and waits for
     * open requests within the grace time. Requests that are open near its end are answered as not run or failed.
     */
    fun stop() {
        loop.execute {
            log.write("process.stopping") { put("open-requests", openRequests()) }
            val duration = graceMilliseconds(SERVICE_FRACTION)
            state.stop.begin(clock.monotonicMilliseconds() + duration)
            loop.schedule({ stopAccepting() }, LISTEN_AFTER_STOP_MILLISECONDS, TimeUnit.MILLISECONDS)
            loop.schedule({ endOpenRequests() }, duration, TimeUnit.MILLISECONDS)
        }
        stopSignal.await(graceMilliseconds(EXIT_FRACTION), TimeUnit.MILLISECONDS)
        log.write("process.stopped") { put("open-requests", openRequests()) }
        log.flush()
    }

    /** Ends the event loop with all its connections at once. */
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun graceMilliseconds(fraction: Double) =
        (settings.stop.graceSeconds * fraction * MILLISECONDS_PER_SECOND).toLong()

    private fun endOpenRequests() {
        state.pools().forEach { it.endAll() }
        callers.refuseIncomplete()
    }

    private fun stopAccepting() {
        callers.stopListening()
        closeWhenIdle()
    }

    private fun closeWhenIdle() {
        callers.closeIdle()
        if (callers.openConnections == 0) {
            stopSignal.countDown()
            return
        }
        loop.schedule({ closeWhenIdle() }, IDLE_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun openRequests() = state.pools().sumOf { it.openRequests }

    private fun readinessResponse(): ControlResponse {
        val isReady = state.configuration != null && !admission.isStopping
        return ControlResponse(if (isReady) OK else UNAVAILABLE)
    }

    private fun metricsResponse() = ControlResponse(OK, metrics.scrape().toByteArray())

    private fun configurationResponse() =
        state.document?.let { ControlResponse(OK, it) } ?: ControlResponse(UNAVAILABLE)

    private fun rolloutsResponse() =
        ControlResponse(OK, JsonArray(state.rollouts.states.map { it.toJson() }).toString().toByteArray())

    private fun registerGauges() {
        metrics.gauge("configuration.version") { (state.configuration?.version ?: 0).toDouble() }
        metrics.gauge("configuration.age") { (state.freshness.ageMilliseconds() ?: -1).toDouble() }
        metrics.gauge("connections") { callers.openConnections.toDouble() }
        metrics.gauge("requests.open") { openRequests().toDouble() }
        metrics.gauge("requests.waiting") { state.pools().sumOf { it.waitingRequests }.toDouble() }
        metrics.gauge("peers.heard") { state.peers.freshReports().size.toDouble() }
        metrics.gauge("quarantines") { state.quarantine.active.size.toDouble() }
        metrics.gauge("callers.unread.bytes") { unread.unreadBytes.toDouble() }
        metrics.gauge("bodies.bytes") { admission.bodies.used.toDouble() }
        metrics.gauge("log.dropped") { log.droppedLines.toDouble() }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** The load balancer takes two checks, one second apart, to direct new connections elsewhere. */
        const val LISTEN_AFTER_STOP_MILLISECONDS = 2_500L
        const val IDLE_CHECK_MILLISECONDS = 50L

        /** Fraction of the grace time after which requests that still run are ended. */
        const val SERVICE_FRACTION = 0.93

        /** Fraction of the grace time after which the process ends; the answers to ended requests are sent by then. */
        const val EXIT_FRACTION = 0.97
        const val MILLISECONDS_PER_SECOND = 1_000
    }
}
