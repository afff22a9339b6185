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

/** JSON as the stand-ins read and write it. */
internal val standInJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Builds a server on the loopback address. */
internal fun standInServer(port: Int, routes: Routing.() -> Unit): EmbeddedServer<*, *> =
    embeddedServer(CIO, port = port, host = LOOPBACK) { routing(routes) }

/** Answers with [value] as JSON. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(standInJson.encodeToString(value), ContentType.Application.Json, status)
}

/** Reads the body as JSON. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T = standInJson.decodeFromString(receiveText())

private const val LOOPBACK = "127.0.0.1"
