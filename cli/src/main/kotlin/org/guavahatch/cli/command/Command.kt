package org.guavahatch.cli.command

/** Command of `guavahatch`. Its options are parsed into its fields before it runs. */
internal interface Command {
    /** Runs the command; returns the exit code of the process. */
    fun run(): Int

    companion object {
        /** The command succeeded. */
        const val EXIT_OK = 0

        /** The command completed with a negative result: a publication conflict, or wrong answers under load. */
        const val EXIT_REFUSED = 1

        /** The command line or an input file is invalid. */
        const val EXIT_USAGE = 2

        /** The platform or a process could not be reached. */
        const val EXIT_UNAVAILABLE = 3

        /** It is unknown whether a publication was accepted. */
        const val EXIT_UNKNOWN = 4
    }
}
