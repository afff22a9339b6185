package org.guavahatch.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import org.guavahatch.gateway.GatewayHeaders
import org.guavahatch.gateway.HeldBytes
import org.guavahatch.gateway.caller.CallerRequest
import org.guavahatch.gateway.caller.CallerRequestListener
import org.guavahatch.gateway.caller.CallerResponder
import org.guavahatch.gateway.caller.RequestIntake
import org.guavahatch.gateway.request.OwnAnswers
import org.guavahatch.gateway.request.RequestContext
import org.guavahatch.gateway.request.RequestPlan
import org.guavahatch.gateway.request.RequestRun
import org.guavahatch.gateway.request.putTokens
import org.guavahatch.gateway.settings.RequestSettings
import org.guavahatch.model.forwarding.CallerLimits
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.forwarding.ForwardingConfiguration
import org.guavahatch.model.forwarding.ForwardingRoute
import org.guavahatch.scheduling.direct.WaitingRequest
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Decides whether a request is taken, and hands it to its pool. */
class Admission(
    private val control: GatewayControl,
    private val context: RequestContext,
    private val settings: RequestSettings,
    private val random: Random,
) : RequestIntake {
    private val headers: GatewayHeaders get() = context.headers
    private var sequence = 0L
    private val heldBodies = HeldBytes(settings.maximumBodyBytes)

    override var isStopping: Boolean = false

    override val limits: CallerLimits get() = control.configuration?.limits ?: FIRST_LIMITS

    override fun canHold(bytes: Int): Boolean = heldBodies.hasRoom(bytes.toLong())

    override fun accept(request: CallerRequest, responder: CallerResponder): CallerRequestListener? =
        if (isConfigurationUsable()) proceed(request, responder) else HeldRequest(request, responder).also { hold(it) }

    private fun proceed(request: CallerRequest, responder: CallerResponder): CallerRequestListener? =
        when (val decided = decide(request)) {
            is Either.Left -> {
                reject(request, responder, decided.value)
                null
            }
            is Either.Right -> start(decided.value, responder)
        }

    private fun isConfigurationUsable() = control.configuration != null && control.freshness.allowsKeys()

    /** After a start or a pause the store confirms the configuration within milliseconds, if it can be reached. */
    private fun hold(held: HeldRequest) {
        val waited = context.clock.monotonicMilliseconds() - held.request.receivedAt
        when {
            held.isGone -> held.request.body.release()
            isConfigurationUsable() || waited >= HOLD_MILLISECONDS ->
                held.listener =
                    proceed(held.request, held.responder)
            else -> context.loop.schedule({ hold(held) }, HOLD_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
    }

    private class HeldRequest(val request: CallerRequest, val responder: CallerResponder) : CallerRequestListener {
        var listener: CallerRequestListener? = null
        var isGone = false

        override fun onCallerGone() {
            isGone = true
            listener?.onCallerGone()
        }

        override fun onWritable() {
            listener?.onWritable()
        }
    }

    private fun start(plan: RequestPlan, responder: CallerResponder): CallerRequestListener {
        val size = plan.request.body.readableBytes().toLong()
        heldBodies.add(size)
        val pool = control.pool(plan.pool)
        val run = RequestRun(plan, responder, pool, context) { heldBodies.add(-size) }
        pool.submit(run)
        return run
    }

    private fun reject(request: CallerRequest, responder: CallerResponder, refusal: Refusal) {
        request.body.release()
        context.metrics.ended(refusal.reason)
        context.log.write("request.refused") {
            put("request", request.headers.get(headers.requestId).orEmpty())
            put("status", refusal.status.code())
            put("reason", refusal.reason)
            tokenCount(request)?.let { putTokens(it.prompt, it.output, it.estimated) }
            put("configuration", control.configuration?.version ?: 0)
            put("age", control.freshness.ageMilliseconds() ?: -1)
            refusal.retryAfterMilliseconds?.let { put("retry-after", it) }
        }
        responder.answer(
            refusal.status.code(),
            OwnAnswers.headers(refusal.retryAfterMilliseconds),
            Unpooled.EMPTY_BUFFER,
        )
    }

    private fun decide(request: CallerRequest): Either<Refusal, RequestPlan> = either {
        val configuration = ensureNotNull(control.configuration) { Refusal.unavailable("no-configuration") }
        val id =
            ensureNotNull(request.headers.get(headers.requestId)) {
                Refusal(HttpResponseStatus.BAD_REQUEST, "no-request-id")
            }
        val route = route(configuration, request).bind()
        val account = account(configuration, route, request).bind()
        val pool = choosePool(route)
        ensure(control.pool(pool).waiting < settings.maximumWaiting) { Refusal.unavailable("queue-full") }
        val tokens = tokenCount(request)
        val units = charge(account, tokens, route, control.pool(pool).hasRoom).bind()
        RequestPlan(
            id,
            request,
            route,
            pool,
            account,
            units,
            waiting(request, route, account, tokens),
            configuration.version,
        )
    }

    private fun route(
        configuration: ForwardingConfiguration,
        request: CallerRequest,
    ): Either<Refusal, ForwardingRoute> {
        val host = request.headers.get(HttpHeaderNames.HOST).orEmpty()
        val route = configuration.routeOf(host, request.target)
        return route?.right() ?: negative(Refusal(HttpResponseStatus.NOT_FOUND, "no-route")).left()
    }

    private fun account(
        configuration: ForwardingConfiguration,
        route: ForwardingRoute,
        request: CallerRequest,
    ): Either<Refusal, ForwardingAccount?> {
        if (route.isOpen || !configuration.requiresKeys) return null.right()
        if (!control.freshness.allowsKeys()) return Refusal.unavailable("configuration-too-old").left()
        val account = request.headers.get(headers.key)?.let(configuration::accountOf)
        return account?.right() ?: negative(Refusal(HttpResponseStatus.UNAUTHORIZED, "unknown-key")).left()
    }

    /** "No such thing" is final, so it is told only by a gateway that knows the newest configuration. */
    private fun negative(refusal: Refusal): Refusal =
        if (control.freshness.allowsNegativeAnswers()) refusal else Refusal.unavailable("configuration-too-old")

    private fun charge(
        account: ForwardingAccount?,
        tokens: TokenCount?,
        route: ForwardingRoute,
        hasRoom: Boolean,
    ): Either<Refusal, Long> {
        val quota = account?.quota ?: return 0L.right()
        val units = quota.unitsOf(tokens?.let { it.prompt + it.output })
        // Requests without a token count are small and take next to nothing from the account.
        val rank = if (tokens == null) 0 else route.rank
        val wait = control.ledger.admit(account, units, rank, hasRoom) ?: return units.right()
        context.log.write("account.over-quota") {
            put("account", account.name)
            put("units", units)
            put("level", control.ledger.levels[account.name] ?: 0)
            put("per-second", quota.unitsPerSecond)
            put("burst", quota.burstUnits)
            put("gateways-heard", control.peers.fresh().size + 1)
            put("gateways", control.peers.gateways)
        }
        return Refusal(HttpResponseStatus.TOO_MANY_REQUESTS, "quota", wait).left()
    }

    private fun waiting(
        request: CallerRequest,
        route: ForwardingRoute,
        account: ForwardingAccount?,
        tokens: TokenCount?,
    ): WaitingRequest {
        val budget = request.headers.get(headers.timeBudget)?.trim()?.toDoubleOrNull()?.toLong()
        val limit = minOf(budget ?: route.timeoutMilliseconds, route.timeoutMilliseconds)
        return WaitingRequest(
            sequence = sequence++,
            rank = account?.rank ?: route.rank,
            routeRank = route.rank,
            arrivedAt = request.receivedAt,
            targetAt = request.receivedAt + route.targetLatencyMilliseconds,
            deadline = request.receivedAt + limit,
            abandonAt = request.receivedAt + minOf(limit, patience(route)),
            promptTokens = tokens?.prompt ?: 0,
            outputTokens = tokens?.output ?: 0,
            estimatedTokens = tokens?.estimated,
            longestPause = route.maximumPauseMilliseconds,
        )
    }

    /** Callers of streams leave when no event comes for this long; others wait until their deadline. */
    private fun patience(route: ForwardingRoute): Long = if (!route.isStream) {
        Long.MAX_VALUE / 2
    } else {
        maxOf(
            SHORTEST_PATIENCE_MILLISECONDS,
            route.targetLatencyMilliseconds * PATIENCE_TARGETS,
            (route.maximumPauseMilliseconds ?: 0) * PATIENCE_PAUSES,
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
                Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, RETRY_MILLISECONDS)
        }
    }

    private companion object {
        /** Time in which a gateway that lost the store usually reaches it again, or the caller another gateway. */
        const val RETRY_MILLISECONDS = 300L

        const val HOLD_MILLISECONDS = 400L
        const val HOLD_CHECK_MILLISECONDS = 10L

        /** Callers of event streams wait two seconds, four objectives or eight pauses, whichever is longest. */
        const val SHORTEST_PATIENCE_MILLISECONDS = 2_000L
        const val PATIENCE_TARGETS = 4
        const val PATIENCE_PAUSES = 8

        /** Limits until the first configuration is known; requests are refused until then anyway. */
        val FIRST_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
    }
}
