package org.guavahatch.cli.command

import org.guavahatch.coordination.publication.Publication
import org.kohsuke.args4j.Option

/** Prints the text of an accepted configuration as it was published. */
internal class ShowCommand : PlatformCommand() {
    @Option(name = "--version", metaVar = "NUMBER", usage = "version to show, default the head")
    private var versionNumber: Long = HEAD

    override suspend fun run(platform: PlatformServices): Int = whenAvailable(platform.store.head()) { head ->
        val requested = if (versionNumber == HEAD) head?.publication?.version?.number ?: 0 else versionNumber
        whenAvailable(platform.store.publication(requested)) { publication -> show(platform, requested, publication) }
    }

    private suspend fun show(platform: PlatformServices, requested: Long, publication: Publication?): Int {
        if (publication == null) {
            System.err.println("guavahatch: Version $requested does not exist.")
            return Command.EXIT_USAGE
        }
        return whenAvailable(platform.store.text(publication.version)) { text ->
            System.err.println("version ${publication.version}, published by ${publication.publisher}")
            println(text)
            Command.EXIT_OK
        }
    }

    private companion object {
        /** Stands for the version of the head, the latest accepted configuration. */
        const val HEAD = -1L
    }
}
