package org.guavahatch.daemon.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Errors in the format of the OpenAI-style interface. */
internal object CallerErrors {
    @Serializable
    private data class ErrorBody(val message: String, val type: String, val code: String)

    @Serializable
    private data class ErrorDocument(val error: ErrorBody)

    /** The document for an error. */
    fun document(code: String, message: String): String =
        Json.encodeToString(ErrorDocument(ErrorBody(message, "guavahatch_error", code)))

    /** Answers [call] with an error. */
    suspend fun respond(call: ApplicationCall, status: HttpStatusCode, code: String, message: String) {
        call.respondText(document(code, message), ContentType.Application.Json, status)
    }
}
