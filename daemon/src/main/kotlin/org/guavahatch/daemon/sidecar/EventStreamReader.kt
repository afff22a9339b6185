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
 * One event of a model engine's stream.
 *
 * @property bytes the event as it came, with the empty line that ends it
 * @property tokens 1 if it carries generated content, otherwise 0
 * @property promptTokens prompt tokens that it reports, 0 if it reports none
 * @property isLast whether it ends the stream
 */
internal class StreamEvent(val bytes: ByteArray, val tokens: Int, val promptTokens: Int, val isLast: Boolean)

/** Splits a model engine's stream into events. */
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
     * The next event, or null if the stream has ended.
     *
     * @throws TooLongLineException if the event is longer than [MAXIMUM_EVENT_CHARACTERS]
     */
    suspend fun next(): StreamEvent? {
        val event = StringBuilder()
        while (true) {
            val room = MAXIMUM_EVENT_CHARACTERS - event.length
            if (room <= 0) throw TooLongLineException("An event has more than $MAXIMUM_EVENT_CHARACTERS characters.")
            val line = input.readLineStrict(room, LineEnding.Lenient) ?: return null
            event.append(line).append('\n')
            if (line.isEmpty()) return parse(event.toString())
        }
    }

    private fun parse(event: String): StreamEvent {
        val data = event.lineSequence().firstOrNull { it.startsWith(DATA) }?.removePrefix(DATA)?.trim().orEmpty()
        val chunk = decode(data)
        val hasContent = chunk?.choices?.any { !it.delta.content.isNullOrEmpty() } ?: false
        return StreamEvent(
            bytes = event.toByteArray(),
            tokens = if (hasContent) 1 else 0,
            promptTokens = chunk?.usage?.promptTokens ?: 0,
            isLast = data == DONE,
        )
    }

    private fun decode(data: String): Chunk? = try {
        if (data.startsWith("{")) json.decodeFromString<Chunk>(data) else null
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        /** Far above what engines put into an event: a token, or a few. */
        const val MAXIMUM_EVENT_CHARACTERS = 1L shl 20
        const val DATA = "data:"
        const val DONE = "[DONE]"
        val json = Json { ignoreUnknownKeys = true }
    }
}
