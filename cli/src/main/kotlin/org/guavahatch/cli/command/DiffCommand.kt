package org.guavahatch.cli.command

import org.kohsuke.args4j.Argument

/** Prints the differences between a configuration file and the head, which is the latest accepted version. */
internal class DiffCommand : PlatformCommand() {
    @Argument(required = true, metaVar = "FILE", usage = "configuration file, JSON with comments")
    private var file: String = ""

    override suspend fun run(platform: PlatformServices): Int {
        val text = ConfigurationFile.read(file) ?: return Command.EXIT_USAGE
        return printDifferences(platform, file, text)
    }
}
