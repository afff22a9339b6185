package org.guavahatch.cli.command

import org.kohsuke.args4j.Argument

/** Shows what publishing a file would change. */
internal class DiffCommand : PlatformCommand() {
    @Argument(required = true, metaVar = "FILE", usage = "configuration file, JSON with comments")
    private var file: String = ""

    override suspend fun run(platform: PlatformAccess): Int {
        val text = ConfigurationFile.read(file) ?: return Command.EXIT_USAGE
        return showDifference(platform, file, text)
    }
}
