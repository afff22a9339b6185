package org.guavahatch.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put

/** The fields of a chat request that scheduling needs. Other fields are ignored. */
@Serializable
internal data class ChatEnvelope(
    val messages: List<ChatTurn>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int = DEFAULT_MAXIMUM_TOKENS,
) {
    /** The prompt as one text, used to match the prompt prefixes that engines have cached. */
    val prompt: String get() = messages.joinToString("\n") { "${it.role}: ${it.text}" }

    /** One message of the chat. Its content is a string or a list of content parts. */
    @Serializable
    internal data class ChatTurn(val role: String, val content: JsonElement) {
        val text: String get() = (content as? JsonPrimitive)?.content ?: content.toString()
    }

    internal companion object {
        private const val DEFAULT_MAXIMUM_TOKENS = 256
        private val json = Json { ignoreUnknownKeys = true }

        /** Parses [body], or returns a description of why it is not a valid chat request. */
        fun read(body: ByteArray): Either<String, ChatEnvelope> = try {
            json.decodeFromString<ChatEnvelope>(body.decodeToString(throwOnInvalidSequence = true)).right()
        } catch (exception: SerializationException) {
            exception.message.orEmpty().lineSequence().first().left()
        } catch (_: CharacterCodingException) {
            "The text is not UTF-8.".left()
        }

        /** Returns [body] with a request to resume the answer after [tokens] tokens. */
        fun withResumePoint(body: ByteArray, tokens: Int): ByteArray {
            val original = json.parseToJsonElement(body.decodeToString()).jsonObject
            val resumePoint = buildJsonObject { put("tokens", tokens) }
            return JsonObject(original + ("resume" to resumePoint)).toString().toByteArray()
        }
    }
}
