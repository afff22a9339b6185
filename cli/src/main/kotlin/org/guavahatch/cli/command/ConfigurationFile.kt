package org.guavahatch.cli.command

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads input files of commands. */
internal object ConfigurationFile {
    /** Returns the text of [file], or prints an error and returns null if the file cannot be read. */
    fun read(file: String): String? = try {
        Files.readString(Path.of(file))
    } catch (exception: IOException) {
        System.err.println("guavahatch: The file '$file' cannot be read: ${exception.javaClass.simpleName}.")
        null
    }
}
