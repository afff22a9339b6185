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
 * Compares a JSON element with the descriptor of its target type. Reports unknown fields, missing fields and values of
 * the wrong type, each with its path.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object StructureValidator {
    private const val MAXIMUM_VALUE_CHARACTERS = 60

    fun validate(element: JsonElement, descriptor: SerialDescriptor): List<Problem> =
        validateElement(element, descriptor, "$")

    private fun validateElement(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> =
        when {
            element is JsonNull && descriptor.isNullable -> emptyList()
            descriptor.isInline -> validateElement(element, descriptor.getElementDescriptor(0), path)
            else -> validateByKind(element, descriptor, path)
        }

    private fun validateByKind(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> =
        when (descriptor.kind) {
            StructureKind.CLASS -> validateObject(element, descriptor, path)
            StructureKind.LIST -> validateList(element, descriptor, path)
            StructureKind.MAP -> validateMap(element, descriptor, path)
            SerialKind.ENUM -> validateEnum(element, descriptor, path)
            is PrimitiveKind -> validatePrimitive(element, descriptor, path)
            else -> emptyList()
        }

    private fun validateObject(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        if (element !is JsonObject) return listOf(problem(path, element, "Expected an object."))
        val fieldNames = (0 until descriptor.elementsCount).map(descriptor::getElementName)
        val unknownFields = element.keys.filterNot(fieldNames::contains).map { key ->
            problem(
                "$path.$key",
                element.getValue(key),
                "Unknown field '$key'. Known fields are: ${fieldNames.joinToString()}.",
            )
        }
        val fieldProblems = fieldNames.withIndex().flatMap { (index, name) ->
            validateField(element, descriptor, index, "$path.$name")
        }
        return unknownFields + fieldProblems
    }

    private fun validateField(
        element: JsonObject,
        descriptor: SerialDescriptor,
        index: Int,
        path: String,
    ): List<Problem> {
        val name = descriptor.getElementName(index)
        val value = element[name]
        return when {
            value != null -> validateElement(value, descriptor.getElementDescriptor(index), path)
            descriptor.isElementOptional(index) -> emptyList()
            else -> listOf(Problem(path, "nothing", "The field '$name' is required."))
        }
    }

    private fun validateList(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        if (element !is JsonArray) return listOf(problem(path, element, "Expected a list."))
        val itemDescriptor = descriptor.getElementDescriptor(0)
        return element.flatMapIndexed { index, item -> validateElement(item, itemDescriptor, "$path[$index]") }
    }

    private fun validateMap(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        if (element !is JsonObject) return listOf(problem(path, element, "Expected an object."))
        val valueDescriptor = descriptor.getElementDescriptor(1)
        return element.flatMap { (key, value) -> validateElement(value, valueDescriptor, "$path.$key") }
    }

    private fun validateEnum(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        val allowed = (0 until descriptor.elementsCount).map(descriptor::getElementName)
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text in allowed) return emptyList()
        return listOf(problem(path, element, "Allowed values: ${allowed.joinToString()}."))
    }

    private fun validatePrimitive(element: JsonElement, descriptor: SerialDescriptor, path: String): List<Problem> {
        val primitive = element as? JsonPrimitive
        val message = when (descriptor.kind) {
            PrimitiveKind.STRING -> "Expected a string in quotation marks.".takeUnless { primitive.isText() }
            PrimitiveKind.BOOLEAN -> "Expected true or false.".takeUnless { primitive.isBoolean() }
            PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> "Expected a number.".takeUnless { primitive.isNumber() }
            else -> "Expected a whole number.".takeUnless { primitive.isWholeNumber() }
        }
        return listOfNotNull(message?.let { problem(path, element, it) })
    }

    private fun JsonPrimitive?.isText() = this != null && isString

    private fun JsonPrimitive?.isBoolean() = this != null && !isString && booleanOrNull != null

    private fun JsonPrimitive?.isNumber() = this != null && !isString && doubleOrNull != null

    private fun JsonPrimitive?.isWholeNumber() = this != null && !isString && longOrNull != null

    private fun problem(path: String, element: JsonElement, message: String): Problem =
        Problem(path, element.toString().take(MAXIMUM_VALUE_CHARACTERS), message)
}
