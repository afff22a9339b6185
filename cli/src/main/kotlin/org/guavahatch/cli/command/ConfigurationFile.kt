package org.guavahatch.cli.command

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads configuration files. */
internal object ConfigurationFile {
    /** The text of [file], or null after the reason was printed. */
    fun read(file: String): String? = try {
        Files.readString(Path.of(file))
    } catch (exception: IOException) {
        System.err.println("guavahatch: The file '$file' cannot be read: ${exception.javaClass.simpleName}.")
        null
    }
}
