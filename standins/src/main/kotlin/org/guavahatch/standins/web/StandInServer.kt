package org.guavahatch.standins.web

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.routing
import kotlinx.serialization.json.Json

/** JSON format of the stand-ins: unknown keys are ignored, default values are written. */
internal val standInJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Creates an HTTP server on the loopback address, without starting it. */
internal fun standInServer(port: Int, routes: Routing.() -> Unit): EmbeddedServer<*, *> =
    embeddedServer(CIO, port = port, host = LOOPBACK_ADDRESS) { routing(routes) }

/** Responds with [value] as JSON. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(standInJson.encodeToString(value), ContentType.Application.Json, status)
}

/** Reads the request body as JSON. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T = standInJson.decodeFromString(receiveText())

private const val LOOPBACK_ADDRESS = "127.0.0.1"
