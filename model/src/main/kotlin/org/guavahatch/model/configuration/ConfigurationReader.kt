package org.guavahatch.model.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.guavahatch.model.check.DocumentError
import org.guavahatch.model.check.DocumentReader

/** Reads and writes configuration sets as JSON with comments. */
public object ConfigurationReader {
    /**
     * Decodes and validates [text].
     *
     * @param source origin of the text, used in error messages
     * @return the configuration set, or all problems found in it
     */
    public fun read(source: String, text: String): Either<DocumentError, ConfigurationSet> =
        DocumentReader.read(source, text, ConfigurationSet.serializer()).flatMap { set ->
            val problems = ConfigurationValidator.validate(set)
            if (problems.isEmpty()) set.right() else DocumentError(source, problems).left()
        }

    /** Encodes [set] as text that [read] accepts. */
    public fun write(set: ConfigurationSet): String =
        DocumentReader.json.encodeToString(ConfigurationSet.serializer(), set)
}
