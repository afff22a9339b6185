package org.guavahatch.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import org.guavahatch.gateway.GatewayHeaders
import org.guavahatch.gateway.caller.BodyBudget
import org.guavahatch.gateway.caller.CallerRequest
import org.guavahatch.gateway.caller.CallerRequestListener
import org.guavahatch.gateway.caller.CallerResponder
import org.guavahatch.gateway.caller.RequestAcceptor
import org.guavahatch.gateway.request.ActiveRequest
import org.guavahatch.gateway.request.GatewayResponses
import org.guavahatch.gateway.request.PoolDispatcher
import org.guavahatch.gateway.request.RequestContext
import org.guavahatch.gateway.request.RequestOrigin
import org.guavahatch.gateway.request.RequestPlan
import org.guavahatch.gateway.request.origin
import org.guavahatch.gateway.request.putOrigin
import org.guavahatch.gateway.request.putTokens
import org.guavahatch.gateway.settings.RequestSettings
import org.guavahatch.model.forwarding.CallerLimits
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.forwarding.ForwardingConfiguration
import org.guavahatch.model.forwarding.ForwardingRoute
import org.guavahatch.scheduling.direct.AccountShares
import org.guavahatch.scheduling.direct.RepeatedRequests
import org.guavahatch.scheduling.direct.WaitingRequest
import org.guavahatch.scheduling.quarantine.PromptParts
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Admission control: refuses a request or submits it to the dispatcher of its endpoint pool. */
class Admission(
    private val state: GatewayState,
    private val context: RequestContext,
    private val settings: RequestSettings,
    private val random: Random,
) : RequestAcceptor {
    private val headers: GatewayHeaders get() = context.headers
    private var sequence = 0L
    private val repeated = RepeatedRequests()

    override val isStopping: Boolean get() = state.stop.isStopping

    override val limits: CallerLimits get() = state.configuration?.limits ?: INITIAL_LIMITS

    override val bodies: BodyBudget = BodyBudget.forHeap(settings.maximumBodyBytes, Runtime.getRuntime().maxMemory())

    override fun onBodyRefused(request: HttpRequest): Long {
        context.metrics.countEnded(NO_ROOM_FOR_BODY)
        context.log.write("request.refused") {
            put("request", request.headers().get(headers.requestId).orEmpty())
            put("status", HttpResponseStatus.SERVICE_UNAVAILABLE.code())
            put("reason", NO_ROOM_FOR_BODY)
            put("announced-bytes", request.headers().get(HttpHeaderNames.CONTENT_LENGTH).orEmpty())
            put("buffered-bytes", bodies.used)
            put("retry-after", BODY_RETRY_AFTER_MILLISECONDS)
        }
        return BODY_RETRY_AFTER_MILLISECONDS
    }

    override fun accept(request: CallerRequest, responder: CallerResponder): CallerRequestListener? =
        if (isConfigurationUsable() || isStopOver()) {
            admit(request, responder)
        } else {
            PendingRequest(request, responder).also { awaitConfiguration(it) }
        }

    private fun admit(request: CallerRequest, responder: CallerResponder): CallerRequestListener? =
        when (val planned = planRequest(request)) {
            is Either.Left -> {
                refuse(request, responder, planned.value)
                null
            }
            is Either.Right -> start(planned.value, responder)
        }

    private fun isConfigurationUsable() = state.configuration != null && state.freshness.allowsKeyedRequests()

    private fun isStopOver() = state.stop.isOverAt(context.clock.monotonicMilliseconds())

    /**
     * Holds a request until the configuration is usable, for at most [CONFIGURATION_WAIT_MILLISECONDS]. After a start
     * or a pause of the process, a reachable store confirms the configuration within milliseconds.
     */
    private fun awaitConfiguration(pending: PendingRequest) {
        val waited = context.clock.monotonicMilliseconds() - pending.request.receivedAt
        when {
            pending.isCallerGone -> pending.request.body.release()
            isConfigurationUsable() || isStopOver() || waited >= CONFIGURATION_WAIT_MILLISECONDS ->
                pending.listener = admit(pending.request, pending.responder)
            else -> context.loop.schedule(
                { awaitConfiguration(pending) },
                CONFIGURATION_CHECK_MILLISECONDS,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    private class PendingRequest(val request: CallerRequest, val responder: CallerResponder) : CallerRequestListener {
        var listener: CallerRequestListener? = null
        var isCallerGone = false

        override fun onCallerGone() {
            isCallerGone = true
            listener?.onCallerGone()
        }

        override fun onWritable() {
            listener?.onWritable()
        }
    }

    private fun start(plan: RequestPlan, responder: CallerResponder): CallerRequestListener {
        plan.origin.counters(context.metrics).countAsked()
        val pool = state.pool(plan.pool)
        val activeRequest = ActiveRequest(plan, responder, pool, context)
        pool.submit(activeRequest)
        return activeRequest
    }

    private fun refuse(request: CallerRequest, responder: CallerResponder, refusal: Refusal) {
        request.body.release()
        context.metrics.countEnded(refusal.reason)
        val origin = originOf(request)
        origin.counters(context.metrics).apply {
            countAsked()
            countRefused()
        }
        context.log.write("request.refused") {
            put("request", request.headers.get(headers.requestId).orEmpty())
            put("status", refusal.status.code())
            put("reason", refusal.reason)
            tokenCount(request)?.let { putTokens(it.prompt, it.output, it.estimated) }
            put("configuration", state.configuration?.version ?: 0)
            put("age", state.freshness.ageMilliseconds() ?: -1)
            refusal.retryAfterMilliseconds?.let { put("retry-after", it) }
            origin.route?.let { put("route", it.name) }
            putOrigin(origin, context.log.zone)
        }
        responder.respond(
            refusal.status.code(),
            GatewayResponses.headers(refusal.retryAfterMilliseconds),
            Unpooled.EMPTY_BUFFER,
        )
    }

    /** What a request that was not planned is attributed to, as far as the configuration tells. */
    private fun originOf(request: CallerRequest): RequestOrigin {
        val configuration = state.configuration ?: return RequestOrigin(account = null, route = null)
        val route = findRoute(configuration, request)
        val key = request.headers.get(headers.key).takeIf { route?.allowsAnonymousCallers != true }
        return RequestOrigin(key?.let(configuration::findAccount), route)
    }

    private fun findRoute(configuration: ForwardingConfiguration, request: CallerRequest): ForwardingRoute? =
        configuration.findRoute(request.headers.get(HttpHeaderNames.HOST).orEmpty(), request.target)

    private fun planRequest(request: CallerRequest): Either<Refusal, RequestPlan> = either {
        ensure(!isStopOver()) { Refusal.unavailable(ActiveRequest.STOPPING) }
        val configuration = ensureNotNull(state.configuration) { Refusal.unavailable("no-configuration") }
        val id =
            ensureNotNull(request.headers.get(headers.requestId)) {
                Refusal(HttpResponseStatus.BAD_REQUEST, "no-request-id")
            }
        val route = route(configuration, request).bind()
        val account = account(configuration, route, request).bind()
        val parts = promptParts(request)
        context.quarantine.holdMilliseconds(parts)?.let { hold ->
            raise(Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, ActiveRequest.QUARANTINED, hold))
        }
        val pool = choosePool(route)
        val tokens = tokenCount(request)
        ensure(state.pool(pool).waitingRequests < settings.maximumWaiting) {
            queueFull(state.pool(pool)) { waitingRequest(request, route, it, account, tokens) }
        }
        val units = charge(account, tokens, route, state.pool(pool).hasSpareCapacity).bind()
        RequestPlan(
            id,
            request,
            route,
            pool,
            account,
            units,
            parts,
            waitingRequest(request, route, state.pool(pool), account, tokens).charged(account, units),
            configuration.version,
        )
    }

    private fun queueFull(pool: PoolDispatcher, waitingRequest: (PoolDispatcher) -> WaitingRequest): Refusal {
        val refusal = Refusal.unavailable("queue-full")
        val planned = pool.planReturnOfRefused { waitingRequest(pool) } ?: return refusal
        return refusal.copy(retryAfterMilliseconds = planned)
    }

    private fun route(
        configuration: ForwardingConfiguration,
        request: CallerRequest,
    ): Either<Refusal, ForwardingRoute> {
        val route = findRoute(configuration, request)
        return route?.right() ?: finalRefusal(Refusal(HttpResponseStatus.NOT_FOUND, "no-route")).left()
    }

    private fun account(
        configuration: ForwardingConfiguration,
        route: ForwardingRoute,
        request: CallerRequest,
    ): Either<Refusal, ForwardingAccount?> {
        if (route.allowsAnonymousCallers || !configuration.requiresKeys) return null.right()
        if (!state.freshness.allowsKeyedRequests()) return Refusal.unavailable("configuration-too-old").left()
        val account = request.headers.get(headers.key)?.let(configuration::findAccount)
        return account?.right() ?: finalRefusal(Refusal(HttpResponseStatus.UNAUTHORIZED, "unknown-key")).left()
    }

    /**
     * Returns [refusal], whose status is final for the caller, only if this gateway knows the newest configuration;
     * otherwise a refusal after which the caller may retry.
     */
    private fun finalRefusal(refusal: Refusal): Refusal =
        if (state.freshness.allowsNegativeAnswers()) refusal else Refusal.unavailable("configuration-too-old")

    private fun charge(
        account: ForwardingAccount?,
        tokens: TokenCount?,
        route: ForwardingRoute,
        hasSpareCapacity: Boolean,
    ): Either<Refusal, Long> {
        val quota = account?.quota ?: return 0L.right()
        val units = quota.unitsOf(tokens?.let { it.prompt + it.output })
        // Requests without a token count are small and hardly use the quota, so they are charged at rank 0.
        val rank = if (tokens == null) 0 else route.rank
        val wait = state.ledger.admit(account, units, rank, hasSpareCapacity) ?: return units.right()
        context.log.write("account.over-quota") {
            put("account", account.name)
            put("units", units)
            put("level", state.ledger.levels[account.name] ?: 0)
            put("per-second", quota.unitsPerSecond)
            put("burst", quota.burstUnits)
            put("gateways-heard", state.peers.freshReports().size + 1)
            put("gateways", state.peers.gatewayCount)
        }
        return Refusal(HttpResponseStatus.TOO_MANY_REQUESTS, "quota", wait).left()
    }

    private fun waitingRequest(
        request: CallerRequest,
        route: ForwardingRoute,
        pool: PoolDispatcher,
        account: ForwardingAccount?,
        tokens: TokenCount?,
    ): WaitingRequest {
        val budget = request.headers.get(headers.timeBudget)?.trim()?.toDoubleOrNull()?.toLong()
        val limit = minOf(budget ?: route.timeoutMilliseconds, route.timeoutMilliseconds)
        val promptTokens = tokens?.prompt ?: 0
        val answerTokens = tokens?.run { estimated ?: output } ?: 0
        val elapsed = budget?.let { repeated.elapsedMilliseconds(route.name, it) } ?: 0
        return WaitingRequest(
            sequence = sequence++,
            rank = account?.rank ?: route.rank,
            routeRank = route.rank,
            arrivedAt = request.receivedAt,
            objectiveEndsAt = request.receivedAt + route.targetLatencyMilliseconds - elapsed,
            deadline = request.receivedAt + limit,
            patienceEndsAt = request.receivedAt + minOf(limit, patienceMilliseconds(route)),
            promptTokens = promptTokens,
            outputTokens = tokens?.output ?: 0,
            estimatedTokens = tokens?.estimated,
            longestPauseMilliseconds = route.maximumPauseMilliseconds,
            firstEventMilliseconds = pool.forecasts.firstEvents.expected(promptTokens, route.targetLatencyMilliseconds),
            transferBytes = request.body.readableBytes() + pool.forecasts.answerBytes(route.name, answerTokens),
            isRepeated = elapsed > 0,
        )
    }

    private fun WaitingRequest.charged(account: ForwardingAccount?, units: Long) =
        copy(account = account?.name ?: AccountShares.NO_ACCOUNT, units = units)

    /** Time without an event after which callers of streams disconnect; other callers wait until their deadline. */
    private fun patienceMilliseconds(route: ForwardingRoute): Long = if (!route.isStream) {
        Long.MAX_VALUE / 2
    } else {
        maxOf(
            MINIMUM_PATIENCE_MILLISECONDS,
            route.targetLatencyMilliseconds * PATIENCE_LATENCY_TARGETS,
            (route.maximumPauseMilliseconds ?: 0) * PATIENCE_MAXIMUM_PAUSES,
        )
    }

    private fun choosePool(route: ForwardingRoute): String {
        val total = route.targets.sumOf { it.weight }
        var draw = if (total > 0) random.nextInt(total) else 0
        return route.targets.firstOrNull { target ->
            draw -= target.weight
            draw < 0
        }?.pool ?: route.targets.first().pool
    }

    private fun promptParts(request: CallerRequest): PromptParts =
        request.headers.get(headers.promptParts)?.let(PromptParts::parse) ?: PromptParts.NONE

    private fun tokenCount(request: CallerRequest): TokenCount? {
        val parts = request.headers.get(headers.tokenCount)?.split(',') ?: return null
        val prompt = parts.getOrNull(0)?.trim()?.toLongOrNull() ?: return null
        val output = parts.getOrNull(1)?.trim()?.toLongOrNull() ?: 0
        return TokenCount(prompt, output, request.headers.get(headers.lengthHint)?.trim()?.toDoubleOrNull()?.toLong())
    }

    private data class TokenCount(val prompt: Long, val output: Long, val estimated: Long?)

    private data class Refusal(
        val status: HttpResponseStatus,
        val reason: String,
        val retryAfterMilliseconds: Long? = null,
    ) {
        companion object {
            fun unavailable(reason: String) =
                Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, RETRY_AFTER_MILLISECONDS)
        }
    }

    private companion object {
        /** Usual time until a gateway that lost the store reconnects to it, or the caller reaches another gateway. */
        const val RETRY_AFTER_MILLISECONDS = 300L

        const val NO_ROOM_FOR_BODY = "no-room-for-body"

        /** Large bodies take about a second to arrive, and leave with the end of their request. */
        const val BODY_RETRY_AFTER_MILLISECONDS = 1_000L

        const val CONFIGURATION_WAIT_MILLISECONDS = 400L
        const val CONFIGURATION_CHECK_MILLISECONDS = 10L

        /**
         * Callers of event streams are assumed to wait two seconds, four latency targets or eight times the route's
         * maximum pause, whichever is longest.
         */
        const val MINIMUM_PATIENCE_MILLISECONDS = 2_000L
        const val PATIENCE_LATENCY_TARGETS = 4
        const val PATIENCE_MAXIMUM_PAUSES = 8

        /** Limits until the first configuration is applied; requests are refused until then anyway. */
        val INITIAL_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
    }
}
