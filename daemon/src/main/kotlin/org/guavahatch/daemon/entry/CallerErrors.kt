package org.guavahatch.daemon.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Error responses in the format of the OpenAI API. */
internal object CallerErrors {
    @Serializable
    private data class ErrorBody(val message: String, val type: String, val code: String)

    @Serializable
    private data class ErrorDocument(val error: ErrorBody)

    /** Returns the JSON document of an error. */
    fun toJson(code: String, message: String): String =
        Json.encodeToString(ErrorDocument(ErrorBody(message, "guavahatch_error", code)))

    /** Responds to [call] with an error. */
    suspend fun respond(call: ApplicationCall, status: HttpStatusCode, code: String, message: String) {
        call.respondText(toJson(code, message), ContentType.Application.Json, status)
    }
}
