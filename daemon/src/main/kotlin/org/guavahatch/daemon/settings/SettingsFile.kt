package org.guavahatch.daemon.settings

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import org.guavahatch.model.check.DocumentError
import org.guavahatch.model.check.DocumentReader
import org.guavahatch.model.check.Problem
import org.guavahatch.model.check.ProblemCollector
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads and validates settings files. */
internal object SettingsFile {
    /** Reads and validates [file]. The error lists all problems. */
    fun <T : CheckedSettings> read(file: Path, serializer: KSerializer<T>): Either<DocumentError, T> = readText(file)
        .flatMap { text -> DocumentReader.read(file.toString(), text, serializer) }
        .flatMap { settings -> validate(file, settings) }

    private fun readText(file: Path): Either<DocumentError, String> = try {
        Files.readString(file).right()
    } catch (exception: IOException) {
        val problem = Problem("$", file.toString(), "The file cannot be read: ${exception.javaClass.simpleName}.")
        DocumentError(file.toString(), listOf(problem)).left()
    }

    private fun <T : CheckedSettings> validate(file: Path, settings: T): Either<DocumentError, T> {
        val collector = ProblemCollector()
        settings.check(collector)
        val problems = collector.problems
        return if (problems.isEmpty()) settings.right() else DocumentError(file.toString(), problems).left()
    }
}
