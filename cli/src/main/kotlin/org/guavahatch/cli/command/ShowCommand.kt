package org.guavahatch.cli.command

import org.guavahatch.coordination.publication.Publication
import org.kohsuke.args4j.Option

/** Prints an accepted configuration as it was published. */
internal class ShowCommand : PlatformCommand() {
    @Option(name = "--version", metaVar = "NUMBER", usage = "version to show, default the head")
    private var number: Long = HEAD

    override suspend fun run(platform: PlatformAccess): Int = whenAvailable(platform.store.head()) { head ->
        val wanted = if (number == HEAD) head?.publication?.version?.number ?: 0 else number
        whenAvailable(platform.store.publication(wanted)) { publication -> show(platform, wanted, publication) }
    }

    private suspend fun show(platform: PlatformAccess, wanted: Long, publication: Publication?): Int {
        if (publication == null) {
            System.err.println("guavahatch: There is no version $wanted.")
            return Command.EXIT_USAGE
        }
        return whenAvailable(platform.store.text(publication.version)) { text ->
            System.err.println("version ${publication.version}, published by ${publication.publisher}")
            println(text)
            Command.EXIT_OK
        }
    }

    private companion object {
        const val HEAD = -1L
    }
}
