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
import org.guavahatch.coordination.publication.ActiveConfiguration
import org.guavahatch.model.configuration.ClientAccount
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.IdempotencyKeyRule
import org.guavahatch.model.configuration.PoolKind
import org.guavahatch.model.configuration.Route
import org.guavahatch.model.configuration.Tier
import org.guavahatch.protocol.message.EndpointCall
import java.io.ByteArrayOutputStream

/**
 * Reads requests from callers and validates them against the configuration.
 *
 * @property maximumHeaderBytes maximum length of a header value that is read; requests with longer values are refused
 */
internal class CallerRequestReader(private val maximumHeaderBytes: Int) {
    private val keyResolver = AccountKeyResolver()

    /** Reads the request of [call] and validates it against [configuration]. */
    suspend fun read(
        call: ApplicationCall,
        configuration: ActiveConfiguration,
    ): Either<CallerError, ValidatedRequest> = either {
        val account = authenticate(call, configuration)
        val route = findRoute(call, configuration.set)
        val tier = selectTier(call, configuration.set, account, route)
        val deadline = readDeadline(call, route)
        val idempotencyKey = readIdempotencyKey(call, route)
        val body = readBody(call, route.maximumBodyBytes).bind()
        val pool = configuration.set.endpointPools.first { it.name == route.pool }
        val chat = if (pool.kind == PoolKind.MODEL) readChat(body, route) else null
        ValidatedRequest(
            version = configuration.version,
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

    private fun Raise<CallerError>.readHeader(call: ApplicationCall, name: String): String? {
        val value = call.request.headers[name] ?: return null
        ensure(value.length <= maximumHeaderBytes) { CallerError.HeaderTooLarge(name, maximumHeaderBytes) }
        return value
    }

    private fun Raise<CallerError>.authenticate(
        call: ApplicationCall,
        configuration: ActiveConfiguration,
    ): ClientAccount {
        val authorization = readHeader(call, HttpHeaders.Authorization)
        val key = authorization?.takeIf { it.startsWith(BEARER_PREFIX) }?.removePrefix(BEARER_PREFIX)
        ensureNotNull(key) { CallerError.MissingKey() }
        return ensureNotNull(keyResolver.resolve(key, configuration)) { CallerError.UnknownKey() }
    }

    private fun Raise<CallerError>.findRoute(call: ApplicationCall, set: ConfigurationSet): Route {
        val path = call.request.path()
        val route = set.routes.filter { path.startsWith(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }
        ensureNotNull(route) { CallerError.UnknownRoute(path) }
        val method = call.request.httpMethod.value
        ensure(method in route.methods) { CallerError.WrongMethod(method, route.methods) }
        return route
    }

    private fun Raise<CallerError>.selectTier(
        call: ApplicationCall,
        set: ConfigurationSet,
        account: ClientAccount,
        route: Route,
    ): Tier {
        val highest = set.tiers.first { it.name == account.highestTier }
        val requested = readHeader(call, CallerHeaders.TIER)
        if (requested == null) {
            val default = set.tiers.first { it.name == route.defaultTier }
            return if (default.rank < highest.rank) highest else default
        }
        val tier = set.tiers.find { it.name == requested }
        ensureNotNull(tier) { CallerError.UnknownTier(requested, set.tiers.map { it.name }) }
        ensure(tier.rank >= highest.rank) { CallerError.TierNotAllowed(requested, highest.name) }
        return tier
    }

    private fun Raise<CallerError>.readDeadline(call: ApplicationCall, route: Route): Long {
        val value = readHeader(call, CallerHeaders.DEADLINE) ?: return route.defaultDeadlineMilliseconds
        val milliseconds = value.trim().toLongOrNull()
        ensure(milliseconds != null && milliseconds in ALLOWED_DEADLINES) { CallerError.BadDeadline(value) }
        return milliseconds
    }

    private fun Raise<CallerError>.readIdempotencyKey(call: ApplicationCall, route: Route): String {
        if (route.idempotencyKey == IdempotencyKeyRule.IGNORED) return ""
        val value = readHeader(call, CallerHeaders.IDEMPOTENCY_KEY)
        ensureNotNull(value) { CallerError.MissingIdempotencyKey() }
        ensure(IDEMPOTENCY_KEY_PATTERN.matches(value)) { CallerError.BadIdempotencyKey() }
        return value
    }

    private suspend fun readBody(call: ApplicationCall, limit: Int): Either<CallerError, ByteArray> {
        val contentLength = call.request.contentLength() ?: 0
        if (contentLength > limit) return CallerError.BodyTooLarge(limit).left()
        val body = ByteArrayOutputStream(contentLength.toInt())
        val buffer = ByteArray(BUFFER_BYTES)
        val input = call.receiveChannel()
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) return body.toByteArray().right()
            body.write(buffer, 0, count)
            if (body.size() > limit) return CallerError.BodyTooLarge(limit).left()
        }
    }

    private fun Raise<CallerError>.readChat(body: ByteArray, route: Route): ChatEnvelope {
        val chat = ChatEnvelope.read(body).mapLeft { CallerError.MalformedBody(it) }
            .flatMap { if (it.maximumTokens > 0) it.right() else MAXIMUM_TOKENS_NOT_POSITIVE.left() }
            .bind()
        ensure(PromptTokenEstimator.estimate(chat.prompt) <= route.maximumPromptTokens) {
            CallerError.PromptTooLarge(route.maximumPromptTokens)
        }
        return chat
    }

    private companion object {
        const val BEARER_PREFIX = "Bearer "
        const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
        const val BUFFER_BYTES = 16_384

        /** Deadlines that callers may set, in milliseconds. */
        val ALLOWED_DEADLINES = 1L..3_600_000L
        val IDEMPOTENCY_KEY_PATTERN = Regex("[A-Za-z0-9._:-]{1,128}")
        val MAXIMUM_TOKENS_NOT_POSITIVE: CallerError = CallerError.MalformedBody("'max_tokens' has to be above 0.")
    }
}
