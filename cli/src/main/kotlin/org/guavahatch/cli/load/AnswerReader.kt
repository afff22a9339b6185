package org.guavahatch.cli.load

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.LineEnding
import io.ktor.utils.io.readLine
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * Content of an answer.
 *
 * @property content text of the answer
 * @property isWhole whether the answer came to its proper end
 * @property tokenTimesNanoseconds when each token came
 */
internal class AnswerContent(val content: String, val isWhole: Boolean, val tokenTimesNanoseconds: List<Long>)

/** Reads answers as a caller does. */
internal object AnswerReader {
    @Serializable
    private data class Delta(val content: String? = null)

    @Serializable
    private data class Message(val content: String = "")

    @Serializable
    private data class Choice(val delta: Delta = Delta(), val message: Message = Message())

    @Serializable
    private data class Document(val choices: List<Choice> = emptyList())

    private val json = Json { ignoreUnknownKeys = true }

    /** Reads a stream of events to its end. */
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
                    val text = json.decodeFromString<Document>(data).choices.firstOrNull()?.delta?.content.orEmpty()
                    if (text.isNotEmpty()) times += System.nanoTime()
                    content.append(text)
                }
            }
        }
    }

    /** Reads a chat's answer that comes whole. */
    suspend fun readChat(response: HttpResponse): AnswerContent {
        val document = json.decodeFromString<Document>(response.bodyAsText())
        return AnswerContent(document.choices.first().message.content, true, emptyList())
    }

    /** Reads an application's answer. */
    suspend fun readPlain(response: HttpResponse): AnswerContent =
        AnswerContent(response.bodyAsText(), true, emptyList())
}
