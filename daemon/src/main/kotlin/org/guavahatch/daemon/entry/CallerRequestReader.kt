package org.guavahatch.daemon.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.utils.io.readAvailable
import org.guavahatch.coordination.publication.InForce
import org.guavahatch.model.configuration.ClientAccount
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.IdempotencyKeyRule
import org.guavahatch.model.configuration.PoolKind
import org.guavahatch.model.configuration.Route
import org.guavahatch.model.configuration.Tier
import org.guavahatch.protocol.message.EndpointCall
import java.io.ByteArrayOutputStream

/**
 * Reads callers' requests and checks them against the configuration.
 *
 * @property maximumHeaderBytes longest header value that is looked at
 */
internal class CallerRequestReader(private val maximumHeaderBytes: Int) {
    private val keys = AccountKeys()

    /** Reads the request of [call] under the configuration [inForce]. */
    suspend fun read(call: ApplicationCall, inForce: InForce): Either<CallerError, RequestPlan> = either {
        val account = account(call, inForce)
        val route = route(call, inForce.set)
        val tier = tier(call, inForce.set, account, route)
        val deadline = deadline(call, route)
        val idempotencyKey = idempotencyKey(call, route)
        val body = readBody(call, route.maximumBodyBytes).bind()
        val pool = inForce.set.endpointPools.first { it.name == route.pool }
        val chat = if (pool.kind == PoolKind.MODEL) chat(body, route) else null
        RequestPlan(
            version = inForce.version,
            account = account,
            route = route,
            pool = pool,
            tier = tier,
            call = EndpointCall(
                method = call.request.httpMethod.value,
                path = call.request.uri.removePrefix(route.removedPrefix),
                contentType = call.request.headers[HttpHeaders.ContentType] ?: DEFAULT_CONTENT_TYPE,
                idempotencyKey = idempotencyKey,
                body = body,
            ),
            prompt = chat?.prompt.orEmpty(),
            maximumTokens = chat?.maximumTokens ?: 0,
            isStream = chat?.stream ?: false,
            deadlineMilliseconds = deadline,
        )
    }

    private fun Raise<CallerError>.header(call: ApplicationCall, name: String): String? {
        val value = call.request.headers[name] ?: return null
        ensure(value.length <= maximumHeaderBytes) { CallerError.HeaderTooLarge(name, maximumHeaderBytes) }
        return value
    }

    private fun Raise<CallerError>.account(call: ApplicationCall, inForce: InForce): ClientAccount {
        val authorization = header(call, HttpHeaders.Authorization)
        val key = authorization?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)
        ensureNotNull(key) { CallerError.MissingKey() }
        return ensureNotNull(keys.find(key, inForce)) { CallerError.UnknownKey() }
    }

    private fun Raise<CallerError>.route(call: ApplicationCall, set: ConfigurationSet): Route {
        val path = call.request.path()
        val route = set.routes.filter { path.startsWith(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }
        ensureNotNull(route) { CallerError.UnknownRoute(path) }
        val method = call.request.httpMethod.value
        ensure(method in route.methods) { CallerError.WrongMethod(method, route.methods) }
        return route
    }

    private fun Raise<CallerError>.tier(
        call: ApplicationCall,
        set: ConfigurationSet,
        account: ClientAccount,
        route: Route,
    ): Tier {
        val highest = set.tiers.first { it.name == account.highestTier }
        val wanted = header(call, CallerHeaders.TIER)
        if (wanted == null) {
            val default = set.tiers.first { it.name == route.defaultTier }
            return if (default.rank < highest.rank) highest else default
        }
        val tier = set.tiers.find { it.name == wanted }
        ensureNotNull(tier) { CallerError.UnknownTier(wanted, set.tiers.map { it.name }) }
        ensure(tier.rank >= highest.rank) { CallerError.TierNotAllowed(wanted, highest.name) }
        return tier
    }

    private fun Raise<CallerError>.deadline(call: ApplicationCall, route: Route): Long {
        val value = header(call, CallerHeaders.DEADLINE) ?: return route.defaultDeadlineMilliseconds
        val milliseconds = value.trim().toLongOrNull()
        ensure(milliseconds != null && milliseconds in DEADLINES) { CallerError.BadDeadline(value) }
        return milliseconds
    }

    private fun Raise<CallerError>.idempotencyKey(call: ApplicationCall, route: Route): String {
        if (route.idempotencyKey == IdempotencyKeyRule.IGNORED) return ""
        val value = header(call, CallerHeaders.IDEMPOTENCY_KEY)
        ensureNotNull(value) { CallerError.MissingIdempotencyKey() }
        ensure(IDEMPOTENCY_KEY.matches(value)) { CallerError.BadIdempotencyKey() }
        return value
    }

    private suspend fun readBody(call: ApplicationCall, limit: Int): Either<CallerError, ByteArray> {
        val announced = call.request.contentLength() ?: 0
        if (announced > limit) return CallerError.BodyTooLarge(limit).left()
        val body = ByteArrayOutputStream(announced.toInt())
        val buffer = ByteArray(BUFFER_BYTES)
        val input = call.receiveChannel()
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) return body.toByteArray().right()
            body.write(buffer, 0, count)
            if (body.size() > limit) return CallerError.BodyTooLarge(limit).left()
        }
    }

    private fun Raise<CallerError>.chat(body: ByteArray, route: Route): ChatEnvelope {
        val chat = ChatEnvelope.read(body).mapLeft { CallerError.MalformedBody(it) }
            .flatMap { if (it.maximumTokens > 0) it.right() else NO_TOKENS.left() }
            .bind()
        ensure(PromptLength.tokens(chat.prompt) <= route.maximumPromptTokens) {
            CallerError.PromptTooLarge(route.maximumPromptTokens)
        }
        return chat
    }

    private companion object {
        const val BEARER = "Bearer "
        const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
        const val BUFFER_BYTES = 16_384
        val DEADLINES = 1L..3_600_000L
        val IDEMPOTENCY_KEY = Regex("[A-Za-z0-9._:-]{1,128}")
        val NO_TOKENS: CallerError = CallerError.MalformedBody("'max_tokens' has to be above 0.")
    }
}
