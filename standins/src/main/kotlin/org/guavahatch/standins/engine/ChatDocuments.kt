package org.guavahatch.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One message of a chat conversation. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)

/**
 * Position at which an interrupted stream is resumed.
 *
 * @property tokens number of answer tokens that the caller has already received
 */
@Serializable
internal data class ResumePoint(val tokens: Int)

/** Body of `POST /v1/chat/completions`, reduced to the fields that the stand-in reads. */
@Serializable
internal data class ChatRequest(
    val model: String = "",
    val messages: List<ChatMessage> = emptyList(),
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int = 64,
    val user: String = "",
    val resume: ResumePoint? = null,
) {
    /** All messages as one text, one line per message, prefixed with the role. */
    val prompt: String get() = messages.joinToString("\n") { "${it.role}: ${it.content}" }
}

/** Text that a chunk appends to the answer. */
@Serializable
internal data class ChatDelta(val content: String)

/** Choice of a streamed answer; each chunk contains exactly one. */
@Serializable
internal data class ChunkChoice(
    val index: Int,
    val delta: ChatDelta,
    @SerialName("finish_reason") val finishReason: String?,
)

/** Token counts of a request and its answer. */
@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
)

/** Server-sent event of a streamed answer. */
@Serializable
internal data class ChatChunk(
    val id: String,
    @SerialName("object") val kind: String,
    val choices: List<ChunkChoice>,
    val usage: ChatUsage? = null,
)

/** Choice of a non-streamed answer; there is exactly one. */
@Serializable
internal data class ChatChoice(
    val index: Int,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
)

/** Non-streamed answer. */
@Serializable
internal data class ChatCompletion(
    val id: String,
    @SerialName("object") val kind: String,
    val choices: List<ChatChoice>,
    val usage: ChatUsage,
)
