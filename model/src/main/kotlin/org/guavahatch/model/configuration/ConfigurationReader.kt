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
     * Reads and checks [text].
     *
     * @param source origin of the text, for messages
     * @return the set, or everything that is wrong with it
     */
    public fun read(source: String, text: String): Either<DocumentError, ConfigurationSet> =
        DocumentReader.read(source, text, ConfigurationSet.serializer()).flatMap { set ->
            val problems = ConfigurationCheck.check(set)
            if (problems.isEmpty()) set.right() else DocumentError(source, problems).left()
        }

    /** Writes [set] as text that [read] accepts. */
    public fun write(set: ConfigurationSet): String =
        DocumentReader.json.encodeToString(ConfigurationSet.serializer(), set)
}
