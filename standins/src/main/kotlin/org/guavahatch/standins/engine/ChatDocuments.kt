package org.guavahatch.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)

/**
 * Where a stream is to be continued.
 *
 * @property tokens tokens of the answer that the caller has already
 */
@Serializable
internal data class ResumePoint(val tokens: Int)

/** Body of `POST /v1/chat/completions`, as far as the stand-in looks at it. */
@Serializable
internal data class ChatRequest(
    val model: String = "",
    val messages: List<ChatMessage> = emptyList(),
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int = 64,
    val user: String = "",
    val resume: ResumePoint? = null,
) {
    val prompt: String get() = messages.joinToString("\n") { "${it.role}: ${it.content}" }
}

/** Content that a chunk adds. */
@Serializable
internal data class ChatDelta(val content: String)

/** One alternative of a streamed answer; there is always one. */
@Serializable
internal data class ChunkChoice(
    val index: Int,
    val delta: ChatDelta,
    @SerialName("finish_reason") val finishReason: String?,
)

/** Tokens of a request and its answer. */
@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
)

/** An event of a streamed answer. */
@Serializable
internal data class ChatChunk(
    val id: String,
    @SerialName("object") val kind: String,
    val choices: List<ChunkChoice>,
    val usage: ChatUsage? = null,
)

/** One alternative of a whole answer; there is always one. */
@Serializable
internal data class ChatChoice(
    val index: Int,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
)

/** A whole answer. */
@Serializable
internal data class ChatCompletion(
    val id: String,
    @SerialName("object") val kind: String,
    val choices: List<ChatChoice>,
    val usage: ChatUsage,
)
