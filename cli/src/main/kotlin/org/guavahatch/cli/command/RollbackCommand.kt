package org.guavahatch.cli.command

import org.kohsuke.args4j.Argument

/** Publishes the content of an earlier version as a new version. */
internal class RollbackCommand : PublishingCommand() {
    @Argument(required = true, metaVar = "NUMBER", usage = "version whose content to publish again")
    private var versionNumber: Long = 0

    override suspend fun run(platform: PlatformServices): Int = whenAvailable(platform.store.head()) { head ->
        whenAvailable(platform.store.publication(versionNumber)) { earlier ->
            if (head == null || earlier == null) {
                System.err.println("guavahatch: Version $versionNumber does not exist.")
                Command.EXIT_USAGE
            } else {
                whenAvailable(platform.store.text(earlier.version)) { text ->
                    val comment = "rollback to ${earlier.version}"
                    publish(platform, "version $versionNumber", text.orEmpty(), head.publication.version, comment)
                }
            }
        }
    }
}
