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

/** Answers chat completions. */
internal class ChatRoutes(private val engine: BatchEngine, private val records: ServedRecords) {
    private val running = ConcurrentHashMap<String, Generation>()

    suspend fun complete(call: ApplicationCall) {
        val request = try {
            call.receiveJson<ChatRequest>()
        } catch (exception: SerializationException) {
            call.respondJson(exception.message.orEmpty(), HttpStatusCode.BadRequest)
            return
        }
        val id = call.request.headers[REQUEST_ID].orEmpty()
        val generation = Generation(request.prompt, request.maximumTokens, request.resume?.tokens ?: 0)
        call.response.header(REQUEST_ID, id)
        if (request.user.isNotEmpty()) records.begin(request.user)
        running[id] = generation
        engine.submit(generation)
        try {
            if (request.stream) stream(call, id, request, generation) else answer(call, id, request, generation)
        } finally {
            generation.isCancelled = true
            running.remove(id, generation)
        }
    }

    fun cancel(id: String): Boolean {
        val generation = running.remove(id) ?: return false
        generation.isCancelled = true
        generation.tokens.close()
        return true
    }

    private suspend fun stream(call: ApplicationCall, id: String, request: ChatRequest, generation: Generation) {
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (position in generation.tokens) {
                event(this, ChatChunk("chatcmpl-$id", CHUNK, listOf(choice(generation.textAt(position), null))))
            }
            if (generation.isCancelled) return@respondBytesWriter
            finished(request, generation)
            event(this, ChatChunk("chatcmpl-$id", CHUNK, listOf(choice("", "stop")), usage(generation)))
            writeStringUtf8("data: [DONE]\n\n")
            flush()
        }
    }

    private suspend fun event(channel: ByteWriteChannel, chunk: ChatChunk) {
        channel.writeStringUtf8("data: ${standInJson.encodeToString(ChatChunk.serializer(), chunk)}\n\n")
        channel.flush()
    }

    private fun choice(text: String, finishReason: String?) = ChunkChoice(0, ChatDelta(text), finishReason)

    private fun usage(generation: Generation) = ChatUsage(generation.promptTokens, generation.totalTokens)

    private suspend fun answer(call: ApplicationCall, id: String, request: ChatRequest, generation: Generation) {
        for (position in generation.tokens) check(position >= 0)
        if (generation.isCancelled) {
            call.respondJson("cancelled", HttpStatusCode.Conflict)
            return
        }
        finished(request, generation)
        val choice = ChatChoice(0, ChatMessage("assistant", generation.wholeText()), "stop")
        call.respondJson(ChatCompletion("chatcmpl-$id", "chat.completion", listOf(choice), usage(generation)))
    }

    private fun finished(request: ChatRequest, generation: Generation) {
        if (request.user.isNotEmpty()) records.answered(request.user, generation.wholeText())
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val CHUNK = "chat.completion.chunk"
    }
}
