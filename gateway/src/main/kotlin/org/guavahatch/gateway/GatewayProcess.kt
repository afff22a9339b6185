package org.guavahatch.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.guavahatch.gateway.caller.CallerServer
import org.guavahatch.gateway.control.Admission
import org.guavahatch.gateway.control.ControlServer
import org.guavahatch.gateway.control.GatewayControl
import org.guavahatch.gateway.control.Page
import org.guavahatch.gateway.endpoint.EndpointConnector
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.GatewayMetrics
import org.guavahatch.gateway.peer.PeerExchange
import org.guavahatch.gateway.request.RequestContext
import org.guavahatch.gateway.settings.GatewaySettings
import org.guavahatch.model.time.Clock
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * One gateway: a single thread serves connections and owns all decisions, since its instance has less than one core.
 *
 * @property settings checked settings
 * @property headers names of headers on this deployment
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
    private val connector = EndpointConnector(group, clock, headers.requestId, settings.endpoints.maximumAnswerBytes)
    private val metrics = GatewayMetrics()

    /** Decisions are written here. */
    val log: DecisionLog = DecisionLog(settings.name)

    /** What the gateway believes; adapters tell it what they learn, on [loop]. */
    val control: GatewayControl = GatewayControl(settings, incarnation, loop, clock, log, connector, random)

    private val heldAnswers = HeldBytes(settings.endpoints.maximumHeldBytes)
    private val context =
        RequestContext(loop, clock, headers, connector, control.ledger, heldAnswers, log, metrics)
    private val admission = Admission(control, context, settings.requests, random)
    private val callers = CallerServer(group, admission, clock)
    private var stopSignal = CountDownLatch(1)

    /** The thread's executor, on which adapters must call [control]. */
    val eventLoop: EventLoop get() = loop

    /** Starts serving. [fetchConfiguration] gets the configuration from a peer's control address. */
    fun start(fetchConfiguration: (peerAddress: String) -> Unit) {
        log.start()
        log.write("process.started") {
            put("incarnation", incarnation)
            put("zone", settings.zone)
            put("callers", settings.callers)
        }
        ControlServer(group, mapOf("/ready" to ::readiness)).start(settings.readiness)
        val pages = mapOf("/metrics" to ::metricsPage, "/configuration" to ::configurationPage)
        ControlServer(group, pages).start(settings.control)
        PeerExchange(control, loop, clock, log, fetchConfiguration).start(settings.control)
        callers.start(settings.callers)
        registerGauges()
    }

    /** Stops without a cut request: not ready at once, then no new connections, then the requests end. */
    fun stop() {
        loop.execute {
            log.write("process.stopping") { put("open-requests", openRequests()) }
            admission.isStopping = true
            loop.schedule({ beginClosing() }, LISTEN_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
        val grace = (settings.stop.graceSeconds * GRACE_PART * MILLISECONDS_PER_SECOND).toLong()
        stopSignal.await(grace, TimeUnit.MILLISECONDS)
        log.write("process.stopped") { put("open-requests", openRequests()) }
        log.flush()
    }

    private fun beginClosing() {
        callers.stopListening()
        closeWhenIdle()
    }

    private fun closeWhenIdle() {
        callers.closeIdle()
        if (callers.openConnections == 0) {
            stopSignal.countDown()
            return
        }
        loop.schedule({ closeWhenIdle() }, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun openRequests() = control.pools().sumOf { it.open }

    private fun readiness(): Page {
        val isReady = control.configuration != null && !admission.isStopping
        return Page(if (isReady) OK else UNAVAILABLE)
    }

    private fun metricsPage() = Page(OK, metrics.scrape().toByteArray())

    private fun configurationPage() = control.document?.let { Page(OK, it) } ?: Page(UNAVAILABLE)

    private fun registerGauges() {
        metrics.gauge("configuration.version") { (control.configuration?.version ?: 0).toDouble() }
        metrics.gauge("configuration.age") { (control.freshness.ageMilliseconds() ?: -1).toDouble() }
        metrics.gauge("connections") { callers.openConnections.toDouble() }
        metrics.gauge("requests.open") { openRequests().toDouble() }
        metrics.gauge("requests.waiting") { control.pools().sumOf { it.waiting }.toDouble() }
        metrics.gauge("peers.heard") { control.peers.fresh().size.toDouble() }
        metrics.gauge("log.dropped") { log.droppedLines.toDouble() }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** The balancer needs two checks, a second apart, to send new connections elsewhere. */
        const val LISTEN_MILLISECONDS = 2_500L
        const val CHECK_MILLISECONDS = 50L

        /** Part of the grace time after which requests that still run are given up. */
        const val GRACE_PART = 0.93
        const val MILLISECONDS_PER_SECOND = 1_000
    }
}
