package org.guavahatch.cli.command

import org.guavahatch.model.configuration.ConfigurationVersion
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Publishes a configuration file. */
internal class PublishCommand : PublishingCommand() {
    @Argument(required = true, metaVar = "FILE", usage = "configuration file, JSON with comments")
    private var file: String = ""

    @Option(name = "--expect", metaVar = "NUMBER", usage = "version that the file is based on, default the head")
    private var expectedNumber: Long = HEAD

    @Option(name = "--dry-run", usage = "print the differences without publishing")
    private var isDryRun: Boolean = false

    override suspend fun run(platform: PlatformServices): Int {
        val text = ConfigurationFile.read(file) ?: return Command.EXIT_USAGE
        if (isDryRun) return printDifferences(platform, file, text)
        return whenAvailable(platform.store.head()) { head ->
            val baseNumber = if (expectedNumber == HEAD) head?.publication?.version?.number ?: 0 else expectedNumber
            whenAvailable(platform.store.publication(baseNumber)) { base ->
                publish(platform, file, text, base?.version ?: ConfigurationVersion(baseNumber, ""))
            }
        }
    }

    private companion object {
        /** Stands for the version of the head, the latest accepted configuration. */
        const val HEAD = -1L
    }
}
