package org.guavahatch.daemon.sidecar

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.LineEnding
import io.ktor.utils.io.charsets.TooLongLineException
import io.ktor.utils.io.readLineStrict
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * One event of a model engine's event stream.
 *
 * @property bytes the event as received, including the empty line that ends it
 * @property tokens 1 if the event contains generated content, otherwise 0
 * @property promptTokens number of prompt tokens that the event reports, or 0 if it reports none
 * @property isLast whether the event ends the stream
 */
internal class StreamEvent(val bytes: ByteArray, val tokens: Int, val promptTokens: Int, val isLast: Boolean)

/** Splits a model engine's event stream into events. */
internal class EventStreamReader(private val input: ByteReadChannel) {
    @Serializable
    private data class Delta(val content: String? = null)

    @Serializable
    private data class Choice(val delta: Delta = Delta())

    @Serializable
    private data class Usage(@SerialName("prompt_tokens") val promptTokens: Int = 0)

    @Serializable
    private data class Chunk(val choices: List<Choice> = emptyList(), val usage: Usage? = null)

    /**
     * Returns the next event, or null if the stream has ended.
     *
     * @throws TooLongLineException if the event is longer than [MAXIMUM_EVENT_CHARACTERS]
     */
    suspend fun next(): StreamEvent? {
        val event = StringBuilder()
        while (true) {
            val remaining = MAXIMUM_EVENT_CHARACTERS - event.length
            if (remaining <= 0) {
                throw TooLongLineException("An event has more than $MAXIMUM_EVENT_CHARACTERS characters.")
            }
            val line = input.readLineStrict(remaining, LineEnding.Lenient) ?: return null
            event.append(line).append('\n')
            if (line.isEmpty()) return parse(event.toString())
        }
    }

    private fun parse(event: String): StreamEvent {
        val dataLine = event.lineSequence().firstOrNull { it.startsWith(DATA_PREFIX) }
        val data = dataLine?.removePrefix(DATA_PREFIX)?.trim().orEmpty()
        val chunk = decode(data)
        val hasContent = chunk?.choices?.any { !it.delta.content.isNullOrEmpty() } ?: false
        return StreamEvent(
            bytes = event.toByteArray(),
            tokens = if (hasContent) 1 else 0,
            promptTokens = chunk?.usage?.promptTokens ?: 0,
            isLast = data == END_MARKER,
        )
    }

    private fun decode(data: String): Chunk? = try {
        if (data.startsWith("{")) json.decodeFromString<Chunk>(data) else null
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        /** Far above the length of the events that engines send, which contain one or a few tokens. */
        const val MAXIMUM_EVENT_CHARACTERS = 1L shl 20
        const val DATA_PREFIX = "data:"
        const val END_MARKER = "[DONE]"
        val json = Json { ignoreUnknownKeys = true }
    }
}
