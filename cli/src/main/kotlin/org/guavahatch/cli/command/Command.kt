package org.guavahatch.cli.command

/** A command of `guavahatch`. Its options are read into it before it runs. */
internal interface Command {
    /** Runs the command; returns the exit code of the process. */
    fun run(): Int

    companion object {
        const val EXIT_OK = 0

        /** The command did its work, and the answer is no: a conflict, or a broken promise. */
        const val EXIT_REFUSED = 1

        /** The command or its input is wrong. */
        const val EXIT_USAGE = 2

        /** The platform or a process could not be reached. */
        const val EXIT_UNAVAILABLE = 3

        /** What became of a publication is not known. */
        const val EXIT_UNKNOWN = 4
    }
}
