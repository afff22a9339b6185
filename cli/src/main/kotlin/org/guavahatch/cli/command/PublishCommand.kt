package org.guavahatch.cli.command

import org.guavahatch.model.configuration.ConfigurationVersion
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Publishes a configuration file. */
internal class PublishCommand : PublishingCommand() {
    @Argument(required = true, metaVar = "FILE", usage = "configuration file, JSON with comments")
    private var file: String = ""

    @Option(name = "--expect", metaVar = "NUMBER", usage = "version that the file was made from, default the head")
    private var expected: Long = HEAD

    @Option(name = "--dry-run", usage = "show what would change, and change nothing")
    private var isDryRun: Boolean = false

    override suspend fun run(platform: PlatformAccess): Int {
        val text = ConfigurationFile.read(file) ?: return Command.EXIT_USAGE
        if (isDryRun) return showDifference(platform, file, text)
        return whenAvailable(platform.store.head()) { head ->
            val number = if (expected == HEAD) head?.publication?.version?.number ?: 0 else expected
            whenAvailable(platform.store.publication(number)) { base ->
                publish(platform, file, text, base?.version ?: ConfigurationVersion(number, ""))
            }
        }
    }

    private companion object {
        const val HEAD = -1L
    }
}
