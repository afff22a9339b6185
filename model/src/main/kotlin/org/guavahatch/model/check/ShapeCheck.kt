package org.guavahatch.model.check

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Compares a JSON element with the descriptor of the type that it is to become, and finds unknown and missing fields
 * and values of a wrong kind, each with its path.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object ShapeCheck {
    private const val LONGEST_QUOTE = 60

    fun check(element: JsonElement, descriptor: SerialDescriptor): List<Problem> = visit(element, descriptor, "$")

    private fun visit(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> = when {
        element is JsonNull && descriptor.isNullable -> emptyList()
        descriptor.isInline -> visit(element, descriptor.getElementDescriptor(0), path)
        else -> visitKind(element, descriptor, path)
    }

    private fun visitKind(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> =
        when (descriptor.kind) {
            StructureKind.CLASS -> visitObject(element, descriptor, path)
            StructureKind.LIST -> visitList(element, descriptor, path)
            StructureKind.MAP -> visitMap(element, descriptor, path)
            SerialKind.ENUM -> visitEnum(element, descriptor, path)
            is PrimitiveKind -> visitPrimitive(element, descriptor, path)
            else -> emptyList()
        }

    private fun visitObject(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        if (element !is JsonObject) return listOf(problem(path, element, "An object is needed here."))
        val known = (0 until descriptor.elementsCount).map(descriptor::getElementName)
        val unknown = element.keys.filterNot(known::contains).map { key ->
            problem(
                "$path.$key",
                element.getValue(key),
                "Unknown field '$key'. Known fields are: ${known.joinToString()}.",
            )
        }
        val inner = known.withIndex().flatMap { (index, name) -> visitField(element, descriptor, index, "$path.$name") }
        return unknown + inner
    }

    private fun visitField(
        element: JsonObject,
        descriptor: SerialDescriptor,
        index: Int,
        path: String,
    ): List<Problem> {
        val name = descriptor.getElementName(index)
        val value = element[name]
        return when {
            value != null -> visit(value, descriptor.getElementDescriptor(index), path)
            descriptor.isElementOptional(index) -> emptyList()
            else -> listOf(Problem(path, "nothing", "The field '$name' is required."))
        }
    }

    private fun visitList(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        if (element !is JsonArray) return listOf(problem(path, element, "A list is needed here."))
        val itemDescriptor = descriptor.getElementDescriptor(0)
        return element.flatMapIndexed { index, item -> visit(item, itemDescriptor, "$path[$index]") }
    }

    private fun visitMap(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        if (element !is JsonObject) return listOf(problem(path, element, "An object is needed here."))
        val valueDescriptor = descriptor.getElementDescriptor(1)
        return element.flatMap { (key, value) -> visit(value, valueDescriptor, "$path.$key") }
    }

    private fun visitEnum(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        val allowed = (0 until descriptor.elementsCount).map(descriptor::getElementName)
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text in allowed) return emptyList()
        return listOf(problem(path, element, "Allowed are: ${allowed.joinToString()}."))
    }

    private fun visitPrimitive(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        val primitive = element as? JsonPrimitive
        val wanted = when (descriptor.kind) {
            PrimitiveKind.STRING -> "A text in quotation marks is needed here.".takeUnless { primitive.isText() }
            PrimitiveKind.BOOLEAN -> "true or false is needed here.".takeUnless { primitive.isBoolean() }
            PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> "A number is needed here.".takeUnless { primitive.isNumber() }
            else -> "A whole number is needed here.".takeUnless { primitive.isWholeNumber() }
        }
        return listOfNotNull(wanted?.let { problem(path, element, it) })
    }

    private fun JsonPrimitive?.isText() = this != null && isString

    private fun JsonPrimitive?.isBoolean() = this != null && !isString && booleanOrNull != null

    private fun JsonPrimitive?.isNumber() = this != null && !isString && doubleOrNull != null

    private fun JsonPrimitive?.isWholeNumber() = this != null && !isString && longOrNull != null

    private fun problem(path: String, element: JsonElement, message: String): Problem =
        Problem(path, element.toString().take(LONGEST_QUOTE), message)
}
