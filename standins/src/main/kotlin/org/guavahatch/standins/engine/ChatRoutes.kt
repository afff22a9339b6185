package org.guavahatch.standins.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.serialization.SerializationException
import org.guavahatch.standins.web.ServedRecords
import org.guavahatch.standins.web.receiveJson
import org.guavahatch.standins.web.respondJson
import org.guavahatch.standins.web.standInJson
import java.util.concurrent.ConcurrentHashMap

/** Handles chat completions, streamed or not, and their cancellation. */
internal class ChatRoutes(private val engine: BatchEngine, private val records: ServedRecords) {
    private val runningGenerations = ConcurrentHashMap<String, Generation>()

    /** Handles `POST /v1/chat/completions`. */
    suspend fun handleCompletion(call: ApplicationCall) {
        val request = try {
            call.receiveJson<ChatRequest>()
        } catch (exception: SerializationException) {
            call.respondJson(exception.message.orEmpty(), HttpStatusCode.BadRequest)
            return
        }
        val id = call.request.headers[REQUEST_ID_HEADER].orEmpty()
        val generation = Generation(request.prompt, request.maximumTokens, request.resume?.tokens ?: 0)
        call.response.header(REQUEST_ID_HEADER, id)
        if (request.user.isNotEmpty()) records.recordExecution(request.user)
        runningGenerations[id] = generation
        engine.submit(generation)
        try {
            if (request.stream) {
                respondStreaming(call, id, request, generation)
            } else {
                respondNonStreaming(call, id, request, generation)
            }
        } finally {
            generation.isCancelled = true
            runningGenerations.remove(id, generation)
        }
    }

    /** Cancels the request [id]; returns false if no such request is running. */
    fun cancel(id: String): Boolean {
        val generation = runningGenerations.remove(id) ?: return false
        generation.isCancelled = true
        generation.tokens.close()
        return true
    }

    private suspend fun respondStreaming(
        call: ApplicationCall,
        id: String,
        request: ChatRequest,
        generation: Generation,
    ) {
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (position in generation.tokens) {
                writeEvent(
                    this,
                    ChatChunk("chatcmpl-$id", CHUNK_OBJECT, listOf(chunkChoice(generation.textAt(position), null))),
                )
            }
            if (generation.isCancelled) return@respondBytesWriter
            recordAnswer(request, generation)
            writeEvent(
                this,
                ChatChunk("chatcmpl-$id", CHUNK_OBJECT, listOf(chunkChoice("", "stop")), usage(generation)),
            )
            writeStringUtf8("data: [DONE]\n\n")
            flush()
        }
    }

    private suspend fun writeEvent(channel: ByteWriteChannel, chunk: ChatChunk) {
        channel.writeStringUtf8("data: ${standInJson.encodeToString(ChatChunk.serializer(), chunk)}\n\n")
        channel.flush()
    }

    private fun chunkChoice(text: String, finishReason: String?) = ChunkChoice(0, ChatDelta(text), finishReason)

    private fun usage(generation: Generation) = ChatUsage(generation.promptTokens, generation.totalTokens)

    private suspend fun respondNonStreaming(
        call: ApplicationCall,
        id: String,
        request: ChatRequest,
        generation: Generation,
    ) {
        // Waits until the last token has been generated or the request is cancelled.
        for (position in generation.tokens) check(position >= 0)
        if (generation.isCancelled) {
            call.respondJson("cancelled", HttpStatusCode.Conflict)
            return
        }
        recordAnswer(request, generation)
        val choice = ChatChoice(0, ChatMessage("assistant", generation.fullText()), "stop")
        call.respondJson(ChatCompletion("chatcmpl-$id", "chat.completion", listOf(choice), usage(generation)))
    }

    private fun recordAnswer(request: ChatRequest, generation: Generation) {
        if (request.user.isNotEmpty()) records.recordAnswer(request.user, generation.fullText())
    }

    private companion object {
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val CHUNK_OBJECT = "chat.completion.chunk"
    }
}
