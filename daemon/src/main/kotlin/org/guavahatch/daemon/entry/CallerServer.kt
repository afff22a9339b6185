package org.guavahatch.daemon.entry

import arrow.core.Either
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.response.header
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import org.guavahatch.coordination.publication.ActiveConfiguration
import org.guavahatch.coordination.publication.AppliedConfiguration
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.daemon.settings.EntrySettings
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.model.time.Clock
import java.util.concurrent.atomic.AtomicInteger

/** HTTP server for callers. */
internal class CallerServer(
    settings: EntrySettings,
    private val applied: AppliedConfiguration,
    private val exchanges: Exchanges,
    private val specifications: RequestSpecificationBuilder,
    private val control: EntryControl,
    private val freshness: ConfigurationFreshness,
    private val clock: Clock,
    private val metrics: DaemonMetrics,
) {
    private val reader = CallerRequestReader(settings.maximumHeaderBytes)
    private val accountLimiter = AccountConcurrencyLimiter()
    private val openCallCount = AtomicInteger()

    /** Set when the process stops. Responses then contain `Connection: close`, so that callers disconnect. */
    @Volatile
    var isClosing = false

    /** Number of calls that are being processed. */
    val openCalls: Int get() = openCallCount.get()

    private val server: EmbeddedServer<*, *> =
        embeddedServer(Netty, port = settings.callerPort, host = settings.host) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing { route("{...}") { handle { serve(call) } } }
        }

    fun start() {
        server.start(wait = false)
    }

    fun stop() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_MILLISECONDS)
    }

    private suspend fun serve(call: ApplicationCall) {
        openCallCount.incrementAndGet()
        try {
            if (isClosing) call.response.header(HttpHeaders.Connection, "close")
            freshness.awaitFresh()
            val configuration = applied.active
            if (configuration == null) refuse(call, CallerError.NotReady()) else serve(call, configuration)
        } finally {
            openCallCount.decrementAndGet()
        }
    }

    private suspend fun serve(call: ApplicationCall, configuration: ActiveConfiguration) {
        when (val read = reader.read(call, configuration)) {
            is Either.Left -> refuse(call, read.value)
            is Either.Right -> admit(call, read.value)
        }
    }

    private suspend fun refuse(call: ApplicationCall, error: CallerError) {
        metrics.count(DaemonCounter.REFUSED_REQUESTS, error.code)
        if (error.status == HttpStatusCode.PayloadTooLarge) call.response.header(HttpHeaders.Connection, "close")
        CallerErrors.respond(call, error.status, error.code, error.message)
    }

    private suspend fun admit(call: ApplicationCall, request: ValidatedRequest) {
        val exchange = exchanges.open(request, clock.monotonicMilliseconds())
        if (!accountLimiter.tryAcquire(request.account)) {
            exchanges.close(exchange.requestId)
            exchange.conclude(Outcome.NotRun(NotRunReason.ACCOUNT_LIMIT, ACCOUNT_RETRY_MILLISECONDS))
            recordOutcome(exchange, CallerResponder(call, exchange).send())
            return
        }
        try {
            control.submit(specifications.build(exchange))
            recordOutcome(exchange, respond(call, exchange))
        } finally {
            accountLimiter.release(request.account)
        }
    }

    private suspend fun respond(call: ApplicationCall, exchange: Exchange): Outcome = try {
        CallerResponder(call, exchange).send()
    } catch (exception: CancellationException) {
        control.onCallerGone(exchange.requestId)
        throw exception
    } catch (exception: Exception) {
        control.onCallerGone(exchange.requestId)
        throw exception
    }

    private fun recordOutcome(exchange: Exchange, outcome: Outcome) {
        val request = exchange.request
        val reason = when (outcome) {
            Outcome.Answered -> ""
            is Outcome.NotRun -> outcome.reason.code
            is Outcome.Unknown -> outcome.reason.code
        }
        metrics.count(DaemonCounter.REQUESTS, request.route.name, request.tier.name, outcome.code, reason)
        val duration = clock.monotonicMilliseconds() - exchange.acceptedAtMilliseconds
        metrics.recordRequestDuration(request.route.name, request.tier.name, duration)
        if (outcome == Outcome.Answered) specifications.observeAnswer(exchange)
    }

    private companion object {
        const val STOP_MILLISECONDS = 1000L
        const val ACCOUNT_RETRY_MILLISECONDS = 1000L
    }
}
