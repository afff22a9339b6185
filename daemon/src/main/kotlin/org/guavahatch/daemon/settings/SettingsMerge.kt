package org.guavahatch.daemon.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Merges settings of the environment over those of the settings file. */
internal object SettingsMerge {
    /** Environment variable that may hold a JSON object with settings. */
    const val VARIABLE = "GATEWAY_SETTINGS"

    @OptIn(ExperimentalSerializationApi::class)
    private val json = Json { allowComments = true }

    /**
     * Merges [overlay], the value of [VARIABLE], over [text], the content of [file]. A null or blank value changes
     * nothing.
     *
     * @return the merged settings, or a message that names the source that is not a JSON object
     */
    fun merge(file: String, text: String, overlay: String?): Either<String, JsonObject> = either {
        val settings = parse(file, text).bind()
        if (overlay.isNullOrBlank()) settings else merge(settings, parse(VARIABLE, overlay).bind())
    }

    /** Merges object by object; any other value of [overlay] replaces the one of [settings]. */
    private fun merge(settings: JsonObject, overlay: JsonObject): JsonObject =
        JsonObject(settings + overlay.mapValues { (name, value) -> mergeValue(settings[name], value) })

    private fun mergeValue(setting: JsonElement?, overlay: JsonElement): JsonElement =
        if (setting is JsonObject && overlay is JsonObject) merge(setting, overlay) else overlay

    private fun parse(source: String, text: String): Either<String, JsonObject> = try {
        (json.parseToJsonElement(text) as? JsonObject)?.right() ?: "$source: not a JSON object".left()
    } catch (exception: SerializationException) {
        "$source: not a JSON object: ${exception.message}".left()
    }
}
