package org.guavahatch.model.check

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/**
 * Decodes JSON with comments into a typed value and reports all structural problems of a document together.
 */
@OptIn(ExperimentalSerializationApi::class)
public object DocumentReader {
    /** The format of settings and configurations: JSON with comments and trailing commas. */
    public val json: Json = Json {
        allowComments = true
        allowTrailingComma = true
        encodeDefaults = true
        prettyPrint = true
        prettyPrintIndent = "  "
    }

    /**
     * Decodes [text] with [serializer].
     *
     * @param source origin of the text, used in error messages
     * @return the decoded value, or the syntax error, or all structural problems
     */
    public fun <T> read(source: String, text: String, serializer: KSerializer<T>): Either<DocumentError, T> {
        val element = try {
            json.parseToJsonElement(text)
        } catch (exception: SerializationException) {
            return DocumentError(source, listOf(syntaxProblem(text, exception))).left()
        }
        val problems = StructureValidator.validate(element, serializer.descriptor)
        if (problems.isNotEmpty()) return DocumentError(source, problems).left()
        return decode(source, element, serializer)
    }

    private fun <T> decode(
        source: String,
        element: JsonElement,
        serializer: KSerializer<T>,
    ): Either<DocumentError, T> = try {
        json.decodeFromJsonElement(serializer, element).right()
    } catch (exception: IllegalArgumentException) {
        DocumentError(source, listOf(Problem("$", "document", firstLine(exception)))).left()
    }

    private fun syntaxProblem(text: String, exception: SerializationException): Problem {
        val offset = OFFSET_PATTERN.find(exception.message.orEmpty())?.groupValues?.get(1)?.toIntOrNull()
        val line = offset?.let { text.take(it).count { character -> character == '\n' } + 1 }
        val location = line?.let { "line $it" } ?: "document"
        return Problem("$", location, "The text is not JSON with comments: ${firstLine(exception)}")
    }

    private fun firstLine(exception: Exception): String = exception.message.orEmpty().lineSequence().first()

    private val OFFSET_PATTERN = Regex("offset (\\d+)")
}
