package org.guavahatch.daemon.settings

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.guavahatch.gateway.settings.GatewaySettings
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Reads the settings of a gateway from a file.
 *
 * @property overlay value of [SettingsMerge.VARIABLE], which is merged over the file
 */
internal class GatewaySettingsReader(private val overlay: String?) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Reads [file], or returns a message that names the source of the error. */
    fun read(file: Path): Either<String, GatewaySettings> = readText(file)
        .flatMap { text -> SettingsMerge.merge(file.toString(), text, overlay) }
        .flatMap { merged -> decode(file, merged) }

    private fun readText(file: Path): Either<String, String> = try {
        Files.readString(file).right()
    } catch (exception: IOException) {
        "$file: cannot be read: ${exception.javaClass.simpleName}".left()
    }

    private fun decode(file: Path, merged: JsonObject): Either<String, GatewaySettings> = try {
        json.decodeFromJsonElement(GatewaySettings.serializer(), merged).right()
    } catch (exception: IllegalArgumentException) {
        // Includes SerializationException. The error may be in either source, so both are named.
        val source = if (overlay.isNullOrBlank()) "$file" else "$file with ${SettingsMerge.VARIABLE}"
        "$source: ${exception.message}".left()
    }
}
