package org.guavahatch.cli.load

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.LineEnding
import io.ktor.utils.io.readLine
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The content of an answer.
 *
 * @property content text of the answer
 * @property isComplete whether the answer ended without an error, a stream with `[DONE]`
 * @property tokenTimesNanoseconds arrival time of each token, as read from `System.nanoTime`
 */
internal class AnswerContent(val content: String, val isComplete: Boolean, val tokenTimesNanoseconds: List<Long>)

/** Reads the bodies of responses. */
internal object AnswerReader {
    @Serializable
    private data class Delta(val content: String? = null)

    @Serializable
    private data class Message(val content: String = "")

    @Serializable
    private data class Choice(val delta: Delta = Delta(), val message: Message = Message())

    @Serializable
    private data class Completion(val choices: List<Choice> = emptyList())

    private val json = Json { ignoreUnknownKeys = true }

    /** Reads a streamed chat completion up to its end or the first error. */
    suspend fun readStream(response: HttpResponse): AnswerContent {
        val input = response.bodyAsChannel()
        val content = StringBuilder()
        val times = mutableListOf<Long>()
        while (true) {
            val line = input.readLine(LineEnding.Lenient) ?: return AnswerContent(content.toString(), false, times)
            val data = line.removePrefix("data: ")
            when {
                line.startsWith("event: error") -> return AnswerContent(content.toString(), false, times)
                !line.startsWith("data: ") -> Unit
                data == "[DONE]" -> return AnswerContent(content.toString(), true, times)
                else -> {
                    val text = json.decodeFromString<Completion>(data).choices.firstOrNull()?.delta?.content.orEmpty()
                    if (text.isNotEmpty()) times += System.nanoTime()
                    content.append(text)
                }
            }
        }
    }

    /** Reads a chat completion that is not streamed. */
    suspend fun readChat(response: HttpResponse): AnswerContent {
        val completion = json.decodeFromString<Completion>(response.bodyAsText())
        return AnswerContent(completion.choices.first().message.content, true, emptyList())
    }

    /** Reads the answer of an application. */
    suspend fun readPlain(response: HttpResponse): AnswerContent =
        AnswerContent(response.bodyAsText(), true, emptyList())
}
